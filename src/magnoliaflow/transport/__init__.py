"""HTTP/1.1 connections: h11 over Twisted, for both sides."""

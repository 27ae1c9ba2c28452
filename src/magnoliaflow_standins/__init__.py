"""Small processes that take the platform's and the back ends' place."""

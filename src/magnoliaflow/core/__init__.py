"""The decision core: its state, inputs, commands and systems."""

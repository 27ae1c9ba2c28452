"""The decision core: state, inputs, commands, systems."""

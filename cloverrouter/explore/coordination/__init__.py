"""The explorer's part for the cores of control: their models, and the search over any of them."""

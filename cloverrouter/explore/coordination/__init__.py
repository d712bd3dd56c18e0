"""Model checking of the control plane: models built from the shipped cores, and the search over them."""

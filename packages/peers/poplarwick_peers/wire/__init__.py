"""Generated messages and services; see packages/peers/proto."""

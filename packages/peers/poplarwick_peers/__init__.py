"""Peer-to-peer messaging and cluster membership of instances."""

"""Emulates targets, load and network on simulated time.

Target selection, admission, retries, hedging and refusals run the node's own code.
The network, the callers, the targets, gossip and the sending of attempts are emulated.
"""

"""Emulates targets, load and network on simulated time.

Target selection, admission, retries, hedging and refusals run the node's own code.
Only its environment is emulated.
"""

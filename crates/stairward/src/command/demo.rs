//! `stairward demo`: run a whole site on loopback addresses and check every answer.

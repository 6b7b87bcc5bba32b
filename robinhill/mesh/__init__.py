"""What schedulers share: records, copies of them, members, freshness. No input or output; time is an argument."""

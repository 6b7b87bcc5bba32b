"""What schedulers share: records, copies, members, freshness. No input or output; time is an argument."""

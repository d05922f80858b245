"""The decisions: which call runs when and where; free of I/O."""

"""The actors that own the decision module and admission control, and carry out their actions."""

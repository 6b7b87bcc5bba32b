"""The actors that own the decision module and admission control, and perform their actions."""

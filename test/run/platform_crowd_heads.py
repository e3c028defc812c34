"""Heads of legal size that are made of very many short fields, and never end.

Guards against an instance in which a field takes many times its length.
"""

import crowd

# 14,400 bytes.
FIELDS = [f"{chr(97 + i % 26)}:1" for i in range(3600)]


async def act(client):
    await client.send(client.head("GET", *FIELDS))


crowd.run(act, 200)

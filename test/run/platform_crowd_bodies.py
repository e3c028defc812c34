"""Bodies of legal size that stop one byte short of their end, in one piece, in
small pieces and in chunks.

Guards against an instance whose memory grows with the bodies that clients
begin, at any port and path.
"""

import crowd

SIZE = 600000


async def act(client):
    way = client.number // len(crowd.TARGETS) % 3
    if way == 2:
        await client.send(client.head("POST", "Transfer-Encoding: chunked")
                          + b"\r\n%x\r\n" % SIZE)
        await client.send(b"x" * SIZE + b"\r\n")
        return
    await client.send(client.head("POST", f"Content-Length: {SIZE}")
                      + b"\r\n")
    await client.send(b"x" * (SIZE - 1), 8000 if way == 1 else None)


crowd.run(act, 180)

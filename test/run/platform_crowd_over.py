"""Bodies far over the limit, with and without a stated length, and chunks of
one byte.

Guards against an instance that keeps what it will refuse.
"""

import crowd

SIZE = 8000000


async def act(client):
    way = client.number // len(crowd.TARGETS) % 3
    if way == 0:
        await client.send(client.head("POST", f"Content-Length: {SIZE}")
                          + b"\r\n" + b"x" * SIZE)
    elif way == 1:
        await client.send(client.head("POST", "Transfer-Encoding: chunked")
                          + b"\r\n%x\r\n" % SIZE + b"x" * SIZE)
    else:
        await client.send(client.head("POST", "Transfer-Encoding: chunked")
                          + b"\r\n" + b"1\r\nx\r\n" * 100000)


crowd.run(act, 60, together=20)

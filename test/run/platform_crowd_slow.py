"""A crowd that stops half-way: in the request line, in a head, after a head, or
without reading a response.

Guards against descriptors that run out, so that ordinary callers are not
accepted and endpoints cannot be reached.
"""

import crowd


async def act(client):
    way = client.number // len(crowd.TARGETS) % 4
    if way == 0:
        await client.send(b"GET /lo")
    elif way == 1:
        await client.send(client.head("GET"))
    elif way == 2:
        await client.send(client.head("POST", "Content-Length: 100")
                          + b"\r\n")
    else:
        client.writer.transport.pause_reading()
        await client.send(client.head("GET") + b"\r\n")


crowd.run(act, 400)

"""Very many requests sent ahead on one connection without reading a response.

Guards against responses that pile up in an instance.
"""

import crowd


async def act(client):
    client.port = crowd.FRONT
    client.target = "/file/1" if client.number % 2 == 0 else client.target
    client.writer.transport.pause_reading()
    request = client.head("GET") + b"\r\n"
    await client.send(request * 400)


# Responses that are read whole before they are sent on.
crowd.run(act, 100, file_size=180000, stays_s=4)

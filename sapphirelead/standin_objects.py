"""In-memory stand-in for the platform's object store, served by the table stand-in."""

from aiohttp import web

from sapphirelead.standin_history import History


class StandInObjects:
    """Objects by key; a put replaces the whole object atomically."""

    objects: dict[str, bytes]
    _history: History

    def __init__(self, history: History) -> None:
        self.objects = {}
        self._history = history

    def routes(self) -> list[web.RouteDef]:
        """Return the HTTP routes of the store."""
        return [web.put("/objects/{key}", self._put), web.get("/objects/{key}", self._get)]

    async def _put(self, request: web.Request) -> web.Response:
        key = request.match_info["key"]
        self.objects[key] = await request.read()
        self._history.record("object_put", key=key, bytes=len(self.objects[key]))
        return web.json_response({})

    async def _get(self, request: web.Request) -> web.Response:
        data = self.objects.get(request.match_info["key"])
        if data is None:
            return web.json_response({"error": "no such object"}, status=404)
        return web.Response(body=data)

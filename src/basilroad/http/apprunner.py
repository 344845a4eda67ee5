"""Runner of an application on the server for callers."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from basilroad.http.connections import CallerServer

if TYPE_CHECKING:
    from basilroad.http.connections import CallerServerSettings


class CallerAppRunner(web.AppRunner):
    """Runs an application on a :class:`~basilroad.http.connections.CallerServer`.

    :param app: the application; its middleware calls the server's ``track`` for each request
    :param settings: settings of the server
    :param options: options of the runner and of the HTTP server
    """

    def __init__(
        self, app: web.Application, settings: CallerServerSettings, **options: Any
    ) -> None:
        super().__init__(app, **options)
        self._caller_settings = settings

    @property
    def connections(self) -> CallerServer:
        """:return: the server, once it is set up."""
        assert isinstance(self.server, CallerServer)
        return self.server

    async def _make_server(self) -> web.Server:
        # the HTTP library has no public way to run an application on another server
        server = await super()._make_server()
        return CallerServer(
            server.request_handler,
            self._caller_settings,
            build_request=server.request_factory,
            handler_cancellation=server.handler_cancellation,
            **server._kwargs,
        )


__all__ = ["CallerAppRunner"]

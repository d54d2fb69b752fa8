"""HTTP server in threads of the test process, for the stand-ins of a platform."""

import http.client
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

HOST = "127.0.0.1"
# Endpoints take as many header lines as an entry forwards.
http.client._MAXHEADERS = 65536


class Head(http.client.HTTPMessage):
    """The headers of a request; the parser raises errors at parameters of some multipart types."""

    def get_content_type(self) -> str:
        """Return the type of a message without parts."""
        return self.get_default_type()


class Handler(BaseHTTPRequestHandler):
    """A request handler that logs nothing and keeps connections open (HTTP/1.1)."""

    protocol_version = "HTTP/1.1"
    MessageClass = Head

    def log_message(self, *args) -> None:
        """Log nothing."""

    def parse_request(self) -> bool:
        """Parse the head, and keep the target as it was sent; the library shortens some."""
        if not super().parse_request():
            return False
        self.path = self.requestline.split()[1]
        return True

    def read_body(self) -> bytes:
        """Return the whole request body, chunked or with a Content-Length."""
        if self.headers.get("Transfer-Encoding", "").lower() != "chunked":
            return self.rfile.read(int(self.headers.get("Content-Length", 0)))
        data = b""
        while size := int(self.rfile.readline(), 16):
            data += self.rfile.read(size)
            self.rfile.readline()
        self.rfile.readline()
        return data

    def respond(self, status: int, data: bytes = b"", **headers: str) -> None:
        """Send a whole response; keyword arguments are headers, with underscores for hyphens."""
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name.replace("_", "-"), value)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Server(ThreadingHTTPServer):
    """A threading HTTP server that ignores peers that close their connections."""

    daemon_threads = True
    # Connections that wait to be accepted; many entries connect at the same time.
    request_queue_size = 128

    def handle_error(self, request, client_address) -> None:
        """Ignore connection errors, which occur when a peer closes during a response."""
        if not isinstance(sys.exception(), ConnectionError):
            super().handle_error(request, client_address)


class StandIn:
    """A server in threads of the test process; its handlers find it as ``standin``."""

    def __init__(self, handler: type[Handler]) -> None:
        owner = self

        class BoundHandler(handler):
            standin = owner

        self.server = Server((HOST, 0), BoundHandler)
        self.port = self.server.server_address[1]
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def stop(self) -> None:
        """Stop the server and close its socket."""
        self.server.shutdown()
        self.server.server_close()

"""An endpoint that answers soundly, or, once told to, with interim responses that never end.

Started by case.py. Prints its port, then one line for each call and answer; "spoil" and "mend" come on its
standard input. It ends when that is closed.
"""
import random
import socket
import sys
import threading
import time

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 2600
spoils = threading.Event()
printing = threading.Lock()


def say(text):
    with printing:
        print(f"{time.monotonic():.6f} {text}", flush=True)


def serve(stream):
    stream.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    pending = b""
    try:
        while True:
            while b"\r\n\r\n" not in pending:
                part = stream.recv(65536)
                if not part:
                    return
                pending += part
            head, _, pending = pending.partition(b"\r\n\r\n")
            lines = [line.split(b":", 1) for line in head.split(b"\r\n")[1:]]
            headers = {line[0].strip().lower(): line[1].strip() for line in lines}
            length = int(headers.get(b"content-length", b"0"))
            while len(pending) < length:
                part = stream.recv(65536)
                if not part:
                    return
                pending += part
            pending = pending[length:]
            message = headers[b"x-request-id"].decode()
            if spoils.is_set():
                say(f"spoilt {message}")
                while True:
                    stream.sendall(INTERIM)
            say(f"call {message}")
            time.sleep(random.uniform(0.12, 0.2))
            stream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            say(f"answer {message}")
    except OSError:
        pass
    finally:
        stream.close()


def accept(listener):
    while True:
        stream, _ = listener.accept()
        threading.Thread(target=serve, args=(stream,), daemon=True).start()


def main():
    listener = socket.create_server((sys.argv[1], 0), backlog=512)
    say(f"port {listener.getsockname()[1]}")
    threading.Thread(target=accept, args=(listener,), daemon=True).start()
    for line in sys.stdin:
        if line.strip() == "spoil":
            spoils.set()
        else:
            spoils.clear()


main()

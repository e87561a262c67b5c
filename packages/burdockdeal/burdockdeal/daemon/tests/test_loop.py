"""The event loop accepts IP addresses and rejects host names."""

import socket

import pytest

from burdockdeal.daemon import loop


@pytest.mark.parametrize("host", ["127.0.0.1", "10.1.2.3", "::1"])
def test_an_ip_address_gives_the_result_of_getaddrinfo(host: str) -> None:
    hints = {"type": socket.SOCK_STREAM, "proto": socket.IPPROTO_TCP}
    expected = socket.getaddrinfo(host, 80, **hints)
    assert [loop.resolve(host, 80)] == expected


@pytest.mark.parametrize("host", ["localhost", "", "127.0.0.1 "])
def test_a_host_name_is_rejected(host: str) -> None:
    with pytest.raises(socket.gaierror):
        loop.resolve(host, 80)

"""Values of HTTP headers as text."""


def decode_header_value(value: str) -> str:
    """Decode a value that is not UTF-8 as Latin-1; a message can't carry it otherwise.

    :param value: value from the HTTP library, which escapes bytes that are not UTF-8 as surrogates
    :return: the value without surrogates
    """
    try:
        value.encode()
    except UnicodeEncodeError:
        return value.encode(errors="surrogateescape").decode("latin-1")
    return value


__all__ = ["decode_header_value"]

"""Names and value ranges of the headers of the caller API."""

from __future__ import annotations

AUTHORIZATION = "Authorization"
PRIORITY = "Poplarwick-Priority"
TIMEOUT = "Poplarwick-Timeout"
IDEMPOTENCY_KEY = "Idempotency-Key"

REQUEST_ID = "Poplarwick-Request"
ENDPOINT = "Poplarwick-Endpoint"
INSTANCE = "Poplarwick-Instance"
REPLAYED = "Poplarwick-Replayed"

MIN_PRIORITY = -10
MAX_PRIORITY = 10

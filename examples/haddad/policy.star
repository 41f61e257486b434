# Priorities, retries and placement of requests.

def order(request, account):
    """Reminders and booking checks go before rota rebuilds."""
    if request.cls == "long":
        return {"class": "long", "rank": 10, "interactive": False, "keep": True}
    return {"class": "interactive", "rank": 0, "interactive": True, "keep": False}

def retry(request, attempt):
    """A slot confirmation that may have run is never sent again."""
    if attempt.outcome == "not_run":
        return True
    if request.pool == "booking":
        return request.method == "GET"
    return attempt.number < 3

def place(request, target):
    return 1.0 if target.same_hall else 0.5

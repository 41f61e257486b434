# Priorities, retries and placement of requests.

def order(request, account):
    """Quick tags go before drafts; drafts are kept when their caller is cut off."""
    if request.cls == "long" or request.max_tokens >= 2048 and request.cls == "":
        return {"class": "long", "rank": 10, "interactive": False, "keep": True}
    return {"class": "interactive", "rank": 0, "interactive": True}

def retry(request, attempt):
    """What provably did not run may always be sent again. A description may be
    written twice; a sample submission must never be sent twice."""
    if attempt.outcome == "not_run":
        return True
    if request.pool == "samples":
        return request.method == "GET"
    return attempt.number < 3

def place(request, target):
    """Work may go to every hall; the nearest is preferred."""
    return 1.0 if target.same_hall else 0.5

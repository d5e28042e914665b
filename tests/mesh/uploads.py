"""Failure tests of uploads to the backend server beside the node that receives them."""
from harness import check, runs, test


@test({"back": 1})
async def test_upload_to_the_server_beside_the_node(f):
    """Guards against an upload that stops after its first window: the server reads that window
    before the node that sends it has noted that the call exists, and nothing sends the rest."""
    c, bad = f.all()[0].caller(), []
    await c.ask("POST", "/up/0", "warm", body=b"x")
    for i, size in enumerate(range(60000, 150000, 3000)):
        a = await c.ask("POST", "/up/1", f"u{i}", body=b"u" * size, deadline=1000)
        if a.status != 200 or f" {size} ".encode() not in a.body or runs(f, f"u{i}") != 1:
            bad.append((size, a))
        if a.head.get("connection") == "close":
            c.close()
    check(not bad, f"{len(bad)} uploads were not served: {bad[:3]}")

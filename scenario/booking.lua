-- booking.lua: a non-repeatable request runs at most once, whatever its caller,
-- its router and the store do.
without(argument)
world { seed = 4 }
local n = { node("a", "nord"), node("b", "sued"), node("c", "terminal") }
budget("b", 100000)
advance(2)
local function book(at, key, more)
  local q = { at = at, amount = 10, lasts = 0.5, key = key, once = true }
  for k, v in pairs(more or {}) do q[k] = v end
  return request(q)
end
-- Repeated at another instance: the same answer, one run.
local q1 = book(n[1], "bay")
advance(2)
local q2 = book(n[2], "bay")
advance(2)
expect(outcome(q1) == "done" and outcome(q2) == "replayed")
-- Two copies at the same time.
local r1, r2 = book(n[1], "twin"), book(n[3], "twin")
advance(3)
expect((outcome(r1) == "done") ~= (outcome(r2) == "done"), "one of the two ran")
-- The router crashes after the dispatch; the retry is answered at once that the
-- request may have run.
local d1 = book(n[1], "death", { lasts = 5 })
advance(1)
kill(n[1])
advance(6)
local d2 = book(n[2], "death")
advance(2)
expect(outcome(d1) == "lost" and outcome(d2) == "maybe")
local _, _, took = outcome(d2)
expect(took < 0.5, "answered after " .. took)
restart(n[1])
advance(3)
-- The target accepts the request and never answers: it is not dispatched again.
local s1 = book(n[2], "silent", { silent = true })
advance(2)
local s2 = book(n[3], "silent")
advance(2)
expect(outcome(s1) == "maybe" and outcome(s2) == "maybe")
-- The response to the claim's write is lost: whether or not the claim was stored,
-- the request runs at most once.
lose(0, 1, 0)
local l1 = book(n[1], "lost answer")
advance(6)
lose(0, 0, 0)
expect(outcome(l1) == "refused")
advance(8)
local l2 = book(n[2], "lost answer")
advance(3)
expect(outcome(l2) == "done" or outcome(l2) == "maybe")
-- The store is down: the request is refused as not run, in bounded time.
store("down")
local o1 = book(n[2], "outage")
advance(3)
local got, cause, waited = outcome(o1)
expect(got == "refused" and cause == "claim-store" and waited < 2.5)
store("up")
advance(6)
local o2 = book(n[3], "outage")
advance(3)
expect(outcome(o2) == "done")
for i = 1, 100 do
  book(n[i % 3 + 1], "k" .. i % 20)
  advance(0.05)
end
advance(5)
expect(sums().runs_most == 1)
rest("bills")

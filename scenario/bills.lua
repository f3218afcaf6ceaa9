-- bills.lua: a request is billed once, however often it is repeated and whichever
-- instances crash meanwhile.
without(argument)
world { seed = 6 }
local n = {}
for i = 1, 4 do n[i] = node("n" .. i, "town", "hall" .. i) end
budget("b", 100000)
advance(2)
-- Retried while it runs and afterwards: it runs once.
local a = request { at = n[1], amount = 50, lasts = 2, key = "letter" }
advance(0.5)
local b = request { at = n[2], amount = 50, lasts = 2, key = "letter" }
advance(0.5)
expect(outcome(b) == "maybe", "it runs elsewhere")
advance(3)
local c = request { at = n[3], amount = 50, lasts = 2, key = "letter" }
advance(3)
expect(outcome(a) == "done" and outcome(c) == "replayed")
-- Each instance crashes once after answering; no bill is lost or duplicated.
local keys = 0
for round = 1, 4 do
  for _ = 1, 10 do
    keys = keys + 1
    request { at = n[round], amount = 50, lasts = 0.1, key = "k" .. keys }
  end
  advance(0.5)
  kill(n[round])
  advance(12)
  restart(n[round])
  advance(5)
end
advance(20)
local s = sums()
expect(s.done == 41, "done " .. s.done)
expect(s.billed == 41 * 50, "billed " .. s.billed)
rest("bills")
-- All messages between instances are lost, so the request runs twice. Both runs
-- consume tokens; one is billed and the other counts as waste, even if the bill of
-- the first is in the store long before the second ends.
local before = sums()
lose(1, 0, 0)
request { at = n[1], amount = 50, lasts = 2, key = "twice" }
request { at = n[2], amount = 50, lasts = 12, key = "twice" }
advance(1)
lose(0, 0, 0)
advance(30)
local after = sums()
expect(after.consumed - before.consumed == 100)
expect(after.billed - before.billed == 50, "billed " .. after.billed - before.billed)
expect(after.wasted - before.wasted == 50, "wasted " .. after.wasted - before.wasted)
rest("bills")

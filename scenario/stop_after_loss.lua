-- stop_after_loss.lua: a planned stop completes within seconds when the home of the
-- instance's tokens is lost: together with its witness, as the only other instance
-- of the region, or while the whole fleet stops.
without(argument)

local count = 40

local function budgets()
  for i = 1, count do budget("b" .. i, 100000, 60) end
end

local function load(n)
  for step = 1, count do
    for _, at in ipairs(n) do
      request { at = at, budget = "b" .. step, amount = 50, used = 20, lasts = 3 }
    end
    advance(0.05)
  end
end

local function expect_stop(what, n)
  for _, at in ipairs(n) do drain(at) end
  advance(30)
  for _, at in ipairs(n) do expect(drained(at), what .. ": " .. at) end
  rest("")
end

-- Home and witness crash together: no instance can seal the grants they issued from.
world { seed = 5 }
local n = {}
for i = 1, 5 do n[i] = node("n" .. i, "town", "hall" .. i) end
budgets()
advance(2)
load(n)
kill(n[1])
kill(n[2])
advance(15)
expect_stop("home and witness gone", { n[3], n[4] })

-- The last instance of its region; the other one was the home.
world { seed = 6 }
n = {}
for i = 1, 4 do n[i] = node("n" .. i, i <= 2 and "nord" or "sued", "hall" .. i) end
budgets()
advance(2)
load(n)
kill(n[1])
advance(1)
expect_stop("the last of its region", { n[2] })

-- All stop at once, just after one was lost.
world { seed = 7 }
n = {}
for i = 1, 4 do n[i] = node("n" .. i, "town", "hall" .. i) end
budgets()
advance(2)
load(n)
kill(n[1])
advance(1)
expect_stop("the whole fleet", { n[2], n[3], n[4] })

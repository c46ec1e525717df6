//! What is measured of a play: who knows something by when, and what routers send.

use super::world::{GIVE_UP, Router, World, address};
use super::{Cost, Spread};
use std::net::SocketAddr;
use std::time::Duration;

impl World {
    pub(super) fn all(&self, holds: impl Fn(&Router) -> bool) -> bool {
        self.routers.iter().filter(|r| r.is_alive).all(holds)
    }

    pub(super) fn spread(&mut self, knows: impl Fn(&Router) -> bool) -> Spread {
        self.spread_at(|router, _| knows(router))
    }

    pub(super) fn spread_at(&mut self, knows: impl Fn(&Router, Duration) -> bool) -> Spread {
        let since = self.now;
        let mut spread = Spread::default();
        while self.now < since + GIVE_UP {
            let alive = self.routers.iter().filter(|r| r.is_alive);
            let total = alive.clone().count();
            let known = alive.filter(|r| knows(r, self.now)).count();
            let took = self.now - since;
            if known * 2 >= total {
                spread.half.get_or_insert(took);
            }
            if known * 100 >= total * 99 {
                spread.most.get_or_insert(took);
            }
            if known == total {
                spread.all = Some(took);
                break;
            }
            self.run_for(Duration::from_millis(50));
        }
        spread
    }

    /// When each router knew so many members; the start is over by then, or it is `None`.
    pub(super) fn first_time(&mut self, count: usize) -> Option<Duration> {
        let since = self.now;
        self.until(|w| w.all(|r| r.members.count() >= count))
            .map(|at| at.max(since))
    }

    pub(super) fn until(&mut self, holds: impl Fn(&Self) -> bool) -> Option<Duration> {
        let give_up = self.now + GIVE_UP;
        while self.now < give_up {
            if holds(self) {
                return Some(self.now);
            }
            self.run_for(Duration::from_millis(50));
        }
        None
    }

    pub(super) fn taken_for_dead(&self) -> usize {
        let alive: Vec<SocketAddr> = (0..self.routers.len())
            .filter(|index| self.routers[*index].is_alive)
            .map(address)
            .collect();
        let taken = |router: &&SocketAddr| {
            let mut others = self.routers.iter().filter(|r| r.is_alive);
            others.any(|r| r.members.is_recorded_dead(**router))
        };
        alive.iter().filter(taken).count()
    }

    pub(super) fn clear_cost(&mut self) {
        for router in &mut self.routers {
            router.sent = (0, 0, 0);
        }
    }

    pub(super) fn cost(&self, over: Duration) -> Cost {
        let seconds = over.as_secs_f64();
        let of = |value: fn(&Router) -> u64| {
            let mut values: Vec<u64> = self.routers.iter().map(value).collect();
            values.sort_unstable();
            let middle = values[values.len() / 2] as f64 / seconds;
            let most = values.last().copied().unwrap_or(0) as f64 / seconds;
            (middle, most)
        };
        let sum = |value: fn(&Router) -> u64| self.routers.iter().map(value).sum::<u64>() as f64;
        Cost {
            messages: of(|r| r.sent.0),
            bytes: of(|r| r.sent.1),
            crossing: sum(|r| r.sent.2) / sum(|r| r.sent.1).max(1.0),
        }
    }
}

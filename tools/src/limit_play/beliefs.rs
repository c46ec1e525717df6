//! What routers believe of each other: each notices a death, a cut and a return at another moment.
//!
//! Owns the history of each router's states. Routers of a large fleet notice later.

use cloverpier_core::DataCentre;
use cloverpier_router_policy::heartbeat::{is_small_fleet, peer_timeout};
use cloverpier_router_policy::membership::{GOSSIP_PERIOD, MEMBER_TIMEOUT};
use cloverpier_router_policy::permit::{LimiterMap, RouterLocation};
use std::net::SocketAddr;
use std::time::Duration;

const HEARTBEAT: Duration = Duration::from_millis(200);
/// A return is noticed within this time in a large fleet.
const LARGE_RETURN: Duration = Duration::from_millis(1_600);
/// A large fleet notices a death this long afterwards at the soonest.
const LARGE_DEATH: Duration = Duration::from_millis(1_200);

/// Whether a router can be heard of, from a moment on.
#[derive(Clone, Copy, Debug)]
struct Heard {
    from: Duration,
    is_heard: bool,
}

/// Who can hear whom, and what each concludes from it.
#[derive(Debug)]
pub(super) struct Beliefs {
    routers: usize,
    data_centres: usize,
    /// Of each router, whether it runs, over time.
    runs: Vec<Vec<Heard>>,
    /// The sides of a cut, over time: routers hear those of their own side.
    sides: Vec<(Duration, Vec<usize>)>,
}

impl Beliefs {
    pub fn new(routers: usize, data_centres: usize) -> Self {
        let begun = Heard {
            from: Duration::ZERO,
            is_heard: true,
        };
        Self {
            routers,
            data_centres,
            runs: vec![vec![begun]; routers],
            sides: vec![(Duration::ZERO, vec![0; routers])],
        }
    }

    pub fn is_large(&self) -> bool {
        !is_small_fleet(self.routers - 1)
    }

    /// How often routers look at who lives.
    pub fn period(&self) -> Duration {
        if self.is_large() {
            GOSSIP_PERIOD
        } else {
            HEARTBEAT
        }
    }

    /// How long it takes at most until all have noticed a change.
    pub fn hold(&self) -> Duration {
        if self.is_large() {
            MEMBER_TIMEOUT
        } else {
            peer_timeout(HEARTBEAT, self.routers - 1)
        }
    }

    /// Records that a router runs, or does not, from now on.
    pub fn set_running(&mut self, router: usize, is_heard: bool, from: Duration) {
        self.runs[router].push(Heard { from, is_heard });
    }

    /// Records who hears whom from now on.
    pub fn set_sides(&mut self, sides: Vec<usize>, from: Duration) {
        self.sides.push((from, sides));
    }

    pub fn reach_each_other(&self, one: usize, other: usize) -> bool {
        let Some((_, sides)) = self.sides.last() else {
            return true;
        };
        sides[one] == sides[other]
    }

    /// Whether one router takes another for alive at a moment.
    fn is_believed(&self, observer: usize, router: usize, now: Duration) -> bool {
        let events = self.events(observer, router);
        let mut believed = true;
        for (number, event) in events.iter().enumerate() {
            let noticed = event.from + self.notice(observer, router, number, event.is_heard);
            if noticed <= now {
                believed = event.is_heard;
            }
        }
        believed
    }

    /// When one router hears another, and when not.
    fn events(&self, observer: usize, router: usize) -> Vec<Heard> {
        let mut moments: Vec<Duration> = self.runs[router].iter().map(|h| h.from).collect();
        moments.extend(self.sides.iter().map(|(from, _)| *from));
        moments.sort_unstable();
        moments.dedup();
        let heard_at = |at: Duration| {
            let runs = self.runs[router].iter().rfind(|h| h.from <= at);
            let sides = self.sides.iter().rfind(|(from, _)| *from <= at);
            let is_near = sides.is_none_or(|(_, s)| s[observer] == s[router]);
            is_near && runs.is_none_or(|h| h.is_heard)
        };
        let mut events: Vec<Heard> = Vec::new();
        for from in moments {
            let is_heard = heard_at(from);
            if events.last().is_none_or(|last| last.is_heard != is_heard) {
                events.push(Heard { from, is_heard });
            }
        }
        events
    }

    /// How long one router takes to notice a change of another; the same each time it is asked.
    fn notice(&self, observer: usize, router: usize, number: usize, is_return: bool) -> Duration {
        let mut rng =
            fastrand::Rng::with_seed((observer * 1_000_003 + router * 101 + number) as u64);
        let (least, most) = match (self.is_large(), is_return) {
            (false, true) => (Duration::ZERO, HEARTBEAT),
            (false, false) => (self.hold() - HEARTBEAT, self.hold()),
            (true, true) => (Duration::ZERO, LARGE_RETURN),
            (true, false) => (LARGE_DEATH, MEMBER_TIMEOUT),
        };
        least + (most - least).mul_f64(rng.f64())
    }

    /// Whether anything happened of late, so that beliefs may differ from what they were.
    pub fn may_have_changed(&self, now: Duration) -> bool {
        let recent = |from: Duration| now < from + self.hold() + 2 * self.period();
        let of_runs = self.runs.iter().filter_map(|h| h.last());
        of_runs.map(|h| h.from).any(recent) || self.sides.iter().any(|(from, _)| recent(*from))
    }

    /// What a router knows of the others.
    pub fn map_of(&self, observer: usize, now: Duration) -> LimiterMap {
        let others = (0..self.routers).filter(|router| *router != observer);
        let (live, lost): (Vec<usize>, Vec<usize>) =
            others.partition(|router| self.is_believed(observer, *router, now));
        let live = live.into_iter().chain([observer]);
        let places = live.map(|router| RouterLocation {
            router: address_of(router),
            data_centre: self.data_centre_of(router),
        });
        LimiterMap::new(address_of(observer), places.collect(), lost.len())
    }

    pub fn data_centre_of(&self, index: usize) -> DataCentre {
        DataCentre::new(format!("hall-{}", index % self.data_centres))
    }
}

/// The address of a router for peers.
pub(super) fn address_of(router: usize) -> SocketAddr {
    let [_, _, high, low] = u32::try_from(router).unwrap_or(u32::MAX).to_be_bytes();
    ([10, 0, high, low], 7_000).into()
}

/// The router with an address for peers.
pub(super) fn router_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else {
        return 0;
    };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 256 + usize::from(low)
}

//! Callers of an account that does not flood, who return with a stream until it is served; and what must hold for them.

use super::checks::Report;
use super::floods::FLOOD;
use super::load::{Callers, Sent};
use crate::router_site::{STREAM_PATH, Site};
use cloverpier_core::lock;
use cloverpier_router_standin::caller::{CallerRequest, Outcome};
use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Callers that each have one stream after the other served.
const CALLERS: usize = 3;
/// Pause between two streams of a caller, and before it returns if it is not told when.
const PAUSE: Duration = Duration::from_millis(100);
/// Streams that are not served yet are asked for so long after all harm is over.
const LAST_TRIES: Duration = Duration::from_secs(20);
/// A caller waits so long for a stream at most: the objective of its route, and a little more.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// A stream that a caller asks for until it is served.
#[derive(Clone, Debug)]
struct PersistentStream {
    name: String,
    asked: Instant,
    /// Refusals, as long as nothing else came.
    refusals: Vec<Instant>,
    has_only_refusals: bool,
    served: bool,
}

/// All streams that were asked for so.
#[derive(Clone, Debug, Default)]
pub struct PersistentStreams(Arc<Mutex<Vec<PersistentStream>>>);

impl PersistentStreams {
    /// Starts the callers; they end once all that they ask for is served, after the load was told to stop.
    pub fn start(
        &self,
        site: &Site,
        callers: &Callers,
        rng: &mut fastrand::Rng,
        stopped: &watch::Receiver<bool>,
        tasks: &mut JoinSet<()>,
    ) {
        for caller in 0..CALLERS {
            let request = site.request("", STREAM_PATH);
            let (persistent, callers) = (self.clone(), callers.clone());
            let (mut rng, stopped) = (rng.fork(), stopped.clone());
            tasks.spawn(async move {
                let mut count = 0;
                while !*stopped.borrow() {
                    count += 1;
                    let name = format!("persistent-{caller}-{count}");
                    let stream =
                        request_until_served(&callers, &request, name, &mut rng, &stopped).await;
                    lock(&persistent.0).push(stream);
                    tokio::time::sleep(PAUSE).await;
                }
            });
        }
    }

    /// Checks that each stream was served in the end, and that no caller was bypassed by the flood all the time.
    pub fn check(&self, site: &Site, sent: &[Sent], report: &mut Report) {
        let persistent = lock(&self.0);
        for stream in persistent.iter().filter(|p| !p.served) {
            let found = format!("{} was never served", stream.name);
            report.violation("starved", &found);
        }
        let flood = FloodArrivals::new(site, sent);
        for stream in persistent.iter().filter(|p| flood.is_bypassed(p)) {
            let found = format!(
                "{} was refused {} times as later streams of the flood were let in",
                stream.name,
                stream.refusals.len()
            );
            report.violation("bypassed", &found);
        }
    }
}

/// Asks for a stream until it is served.
async fn request_until_served(
    callers: &Callers,
    template: &CallerRequest,
    name: String,
    rng: &mut fastrand::Rng,
    stopped: &watch::Receiver<bool>,
) -> PersistentStream {
    let first = CallerRequest {
        prompt: Some(format!("prompt-{name}")),
        body: callers.body_of(&name),
        ..template.clone()
    };
    let mut stream = PersistentStream::new(name);
    let mut request = first.clone();
    let mut last_until = None;
    for attempt in 1.. {
        request.id = format!("{}-{attempt}", stream.name);
        let ended = callers.send(&request, rng).await;
        match stream.after(&ended.outcome) {
            NextTry::None => break,
            NextTry::Anew(wait) => {
                request = first.clone();
                tokio::time::sleep(wait).await;
            }
            NextTry::Resumed => {
                request = request.resumed("", &ended);
                tokio::time::sleep(PAUSE).await;
            }
            NextTry::Same => tokio::time::sleep(PAUSE).await,
        }
        if *stopped.borrow() {
            let until = *last_until.get_or_insert_with(|| Instant::now() + LAST_TRIES);
            if Instant::now() > until {
                break;
            }
        }
    }
    stream
}

/// How a caller asks for its stream the next time.
enum NextTry {
    /// It does not: the stream was served.
    None,
    /// From its beginning, after so long.
    Anew(Duration),
    /// From the last event that it has.
    Resumed,
    /// As before.
    Same,
}

impl PersistentStream {
    fn new(name: String) -> Self {
        Self {
            name,
            asked: Instant::now(),
            refusals: Vec::new(),
            has_only_refusals: true,
            served: false,
        }
    }

    /// Notes what came of a try.
    fn after(&mut self, outcome: &Outcome) -> NextTry {
        match outcome {
            Outcome::Whole => {
                self.served = true;
                NextTry::None
            }
            // What began may not be able to go on; anew it can.
            Outcome::Status(503, told) => {
                self.note_refusal();
                NextTry::Anew(return_after(told.as_deref()))
            }
            Outcome::Broken(_) => {
                self.has_only_refusals = false;
                NextTry::Resumed
            }
            _ => {
                self.has_only_refusals = false;
                NextTry::Same
            }
        }
    }

    fn note_refusal(&mut self) {
        if self.has_only_refusals {
            self.refusals.push(Instant::now());
        }
    }
}

/// When a caller returns that was told a time; it returns at least twice while it waits.
fn return_after(told: Option<&str>) -> Duration {
    let told = told.and_then(|text| text.parse::<f64>().ok());
    let told = told.and_then(|seconds| Duration::try_from_secs_f64(seconds).ok());
    told.unwrap_or(PAUSE).clamp(PAUSE, MAX_WAIT / 3)
}

/// When streams of the flooding account reached engines, and when their callers had asked.
struct FloodArrivals {
    asked_and_arrived: Vec<(Instant, Instant)>,
}

impl FloodArrivals {
    fn new(site: &Site, sent: &[Sent]) -> Self {
        let flood = sent.iter().filter(|one| one.request.id.starts_with(FLOOD));
        let asked: HashMap<&str, Instant> =
            flood.map(|one| (one.request.id.as_str(), one.at)).collect();
        let ledger = lock(&site.ledger);
        let arrivals = ledger.arrivals.iter().filter_map(|arrival| {
            let asked = asked.get(arrival.id.as_deref()?)?;
            Some((*asked, arrival.at))
        });
        Self {
            asked_and_arrived: arrivals.collect(),
        }
    }

    /// Whether a caller was refused for as long as it waits, and streams of the flood that were asked for later reached
    /// an engine between any two of the refusals.
    fn is_bypassed(&self, stream: &PersistentStream) -> bool {
        let Some(last) = stream.refusals.last() else {
            return false;
        };
        if last.duration_since(stream.asked) < MAX_WAIT {
            return false;
        }
        let later = self.asked_and_arrived.iter();
        let later = later.filter(|(asked, _)| *asked > stream.asked);
        let later: Vec<Instant> = later.map(|(_, arrived)| *arrived).collect();
        let between = stream.refusals.windows(2);
        let mut between = between.map(|pair| pair[0]..pair[1]);
        between.all(|span| later.iter().any(|arrived| span.contains(arrived)))
    }
}

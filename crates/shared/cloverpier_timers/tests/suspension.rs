//! Waits during a suspension of the machine, in which the clock continues and the runtime's timers stop.

use cloverpier_core::{Clock, ManualClock, SystemClock};
use cloverpier_timers::{Elapsed, MIN_SUSPENSION, SUSPENSION_CHECK_PERIOD, Timers};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

const LONG: Duration = Duration::from_secs(3_600);

/// A clock that follows the runtime's clock, and jumps ahead of it by each simulated suspension.
#[derive(Clone, Debug)]
struct SuspendableClock {
    started_at: Instant,
    runtime_started_at: tokio::time::Instant,
    suspended: ManualClock,
}

impl SuspendableClock {
    fn new() -> Self {
        let suspended = ManualClock::new();
        Self {
            started_at: suspended.now(),
            runtime_started_at: tokio::time::Instant::now(),
            suspended,
        }
    }

    fn suspend(&self, time: Duration) {
        self.suspended.advance(time);
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Instant {
        let suspended = self.suspended.now() - self.started_at;
        self.started_at + suspended + self.runtime_started_at.elapsed()
    }
}

/// Runs a test with a clock and its timers, with the detection of resumes running. Returns the lengths of
/// the detected suspensions.
async fn with_timers<F: Future<Output = ()>>(
    test: impl FnOnce(SuspendableClock, Timers) -> F,
) -> Vec<Duration> {
    let clock = SuspendableClock::new();
    let timers = Timers::new(Arc::new(clock.clone()));
    let suspensions: Rc<RefCell<Vec<Duration>>> = Rc::default();
    let (watched, detected) = (timers.clone(), Rc::clone(&suspensions));
    let local = LocalSet::new();
    local.spawn_local(async move {
        watched
            .watch_resumes(|time| detected.borrow_mut().push(time))
            .await;
    });
    local.run_until(test(clock, timers)).await;
    suspensions.take()
}

/// The duration of a future by the runtime's clock, and its output.
async fn time_of<T>(work: impl Future<Output = T>) -> (Duration, T) {
    let started_at = tokio::time::Instant::now();
    let value = work.await;
    (started_at.elapsed(), value)
}

#[tokio::test(start_paused = true)]
async fn a_wait_without_a_suspension_takes_its_duration() {
    let suspensions = with_timers(|_, timers| async move {
        let (took, ()) = time_of(timers.sleep(LONG)).await;
        assert!(
            took >= LONG && took < LONG + SUSPENSION_CHECK_PERIOD,
            "{took:?}"
        );
    });
    assert_eq!(suspensions.await, []);
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_ends_during_a_suspension_ends_at_the_resume() {
    let suspensions = with_timers(|clock, timers| async move {
        let waiting = timers.clone();
        let wait = spawn_local(async move { time_of(waiting.sleep(LONG)).await });
        tokio::time::sleep(SUSPENSION_CHECK_PERIOD / 2).await;
        clock.suspend(LONG);
        let (took, ()) = wait.await.unwrap();
        assert!(took <= SUSPENSION_CHECK_PERIOD * 2, "{took:?}");
    });
    let suspensions = suspensions.await;
    assert_eq!(suspensions.len(), 1);
    assert!(
        suspensions[0] >= LONG && suspensions[0] < LONG + MIN_SUSPENSION,
        "{suspensions:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_suspension_shortens_the_rest_of_a_wait() {
    with_timers(|clock, timers| async move {
        let waiting = timers.clone();
        let wait = spawn_local(async move { time_of(waiting.sleep(LONG)).await });
        tokio::time::sleep(SUSPENSION_CHECK_PERIOD / 2).await;
        clock.suspend(LONG / 4);
        let (took, ()) = wait.await.unwrap();
        let left = LONG - LONG / 4;
        assert!(
            took >= left && took <= left + SUSPENSION_CHECK_PERIOD,
            "{took:?}"
        );
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_timeout_ends_at_the_resume_and_a_ready_future_completes() {
    with_timers(|clock, timers| async move {
        let waiting = timers.clone();
        let never = std::future::pending::<()>();
        let wait = spawn_local(async move { time_of(waiting.timeout(LONG, never)).await });
        tokio::time::sleep(SUSPENSION_CHECK_PERIOD / 2).await;
        clock.suspend(LONG);
        let (took, result) = wait.await.unwrap();
        assert_eq!(result, Err(Elapsed));
        assert!(took <= SUSPENSION_CHECK_PERIOD * 2, "{took:?}");
        // A future that is ready completes although its timeout has passed.
        let past = clock.now();
        assert_eq!(timers.timeout_at(past, async { 7 }).await, Ok(7));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_task_can_wait_for_the_next_resume() {
    with_timers(|clock, timers| async move {
        tokio::time::sleep(SUSPENSION_CHECK_PERIOD / 2).await;
        let resumed = timers.resumed();
        clock.suspend(LONG);
        let (took, ()) = time_of(resumed).await;
        assert!(took <= SUSPENSION_CHECK_PERIOD * 2, "{took:?}");
    })
    .await;
}

#[test]
fn the_machines_clock_is_monotonic() {
    let clock = SystemClock;
    let mut previous = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        assert!(now >= previous);
        previous = now;
    }
    // Without a suspension in between, the clock and the standard monotonic clock advance equally.
    let (clock_start, monotonic_start) = (clock.now(), Instant::now());
    std::thread::sleep(Duration::from_millis(30));
    let difference = (clock.now() - clock_start).abs_diff(monotonic_start.elapsed());
    assert!(difference < Duration::from_millis(20), "{difference:?}");
}

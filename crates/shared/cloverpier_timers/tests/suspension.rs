//! Waits that span a suspension: the clock goes on, the runtime's timers don't.

use cloverpier_core::{Clock, ManualClock, SystemClock};
use cloverpier_timers::{CHECK_PERIOD, Elapsed, LEAST_SUSPENSION, Timers};
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::{LocalSet, spawn_local};

const LONG: Duration = Duration::from_secs(3_600);

/// A clock that goes on while the runtime's stands still, when it is told to.
#[derive(Clone, Debug)]
struct SuspendableClock {
    began: Instant,
    runtime_began: tokio::time::Instant,
    suspended: ManualClock,
}

impl SuspendableClock {
    fn new() -> Self {
        let suspended = ManualClock::new();
        Self {
            began: suspended.now(),
            runtime_began: tokio::time::Instant::now(),
            suspended,
        }
    }

    fn suspend(&self, time: Duration) {
        self.suspended.advance(time);
    }
}

impl Clock for SuspendableClock {
    fn now(&self) -> Instant {
        let suspended = self.suspended.now() - self.began;
        self.began + suspended + self.runtime_began.elapsed()
    }
}

/// Runs a test with a clock and the timers by it, whose resumes are watched; returns what the watch
/// was told.
async fn with_timers<F: Future<Output = ()>>(
    test: impl FnOnce(SuspendableClock, Timers) -> F,
) -> Vec<Duration> {
    let clock = SuspendableClock::new();
    let timers = Timers::new(Arc::new(clock.clone()));
    let seen: Rc<RefCell<Vec<Duration>>> = Rc::default();
    let (watching, told) = (timers.clone(), Rc::clone(&seen));
    let local = LocalSet::new();
    local.spawn_local(async move {
        watching
            .watch_resumes(|time| told.borrow_mut().push(time))
            .await;
    });
    local.run_until(test(clock, timers)).await;
    seen.take()
}

/// The runtime's time that something takes.
async fn time_of<T>(work: impl Future<Output = T>) -> (Duration, T) {
    let began = tokio::time::Instant::now();
    let value = work.await;
    (began.elapsed(), value)
}

#[tokio::test(start_paused = true)]
async fn a_wait_without_a_suspension_takes_its_time() {
    let seen = with_timers(|_, timers| async move {
        let (took, ()) = time_of(timers.sleep(LONG)).await;
        assert!(took >= LONG && took < LONG + CHECK_PERIOD, "{took:?}");
    });
    assert_eq!(seen.await, []);
}

#[tokio::test(start_paused = true)]
async fn a_wait_that_ends_while_the_machine_is_suspended_is_over_when_it_resumes() {
    let seen = with_timers(|clock, timers| async move {
        let waiting = timers.clone();
        let wait = spawn_local(async move { time_of(waiting.sleep(LONG)).await });
        tokio::time::sleep(CHECK_PERIOD / 2).await;
        clock.suspend(LONG);
        let (took, ()) = wait.await.unwrap();
        assert!(took <= CHECK_PERIOD * 2, "{took:?}");
    });
    let seen = seen.await;
    assert_eq!(seen.len(), 1);
    assert!(
        seen[0] >= LONG && seen[0] < LONG + LEAST_SUSPENSION,
        "{seen:?}"
    );
}

#[tokio::test(start_paused = true)]
async fn what_is_left_of_a_wait_is_waited_for() {
    with_timers(|clock, timers| async move {
        let waiting = timers.clone();
        let wait = spawn_local(async move { time_of(waiting.sleep(LONG)).await });
        tokio::time::sleep(CHECK_PERIOD / 2).await;
        clock.suspend(LONG / 4);
        let (took, ()) = wait.await.unwrap();
        let left = LONG - LONG / 4;
        assert!(took >= left && took <= left + CHECK_PERIOD, "{took:?}");
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn a_timeout_is_over_when_the_machine_resumes_and_what_has_come_counts() {
    with_timers(|clock, timers| async move {
        let waiting = timers.clone();
        let never = std::future::pending::<()>();
        let wait = spawn_local(async move { time_of(waiting.timeout(LONG, never)).await });
        tokio::time::sleep(CHECK_PERIOD / 2).await;
        clock.suspend(LONG);
        let (took, result) = wait.await.unwrap();
        assert_eq!(result, Err(Elapsed));
        assert!(took <= CHECK_PERIOD * 2, "{took:?}");
        // An answer that is there when the time is over is taken.
        let past = clock.now();
        assert_eq!(timers.timeout_at(past, async { 7 }).await, Ok(7));
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn those_who_ask_learn_of_the_resume() {
    with_timers(|clock, timers| async move {
        tokio::time::sleep(CHECK_PERIOD / 2).await;
        let resumed = timers.resumed();
        clock.suspend(LONG);
        let (took, ()) = time_of(resumed).await;
        assert!(took <= CHECK_PERIOD * 2, "{took:?}");
    })
    .await;
}

#[test]
fn the_machines_clock_goes_on_and_never_back() {
    let clock = SystemClock;
    let mut former = clock.now();
    for _ in 0..1_000 {
        let now = clock.now();
        assert!(now >= former);
        former = now;
    }
    // Without a suspension between, both of the machine's clocks tell the same time.
    let (counting, steady) = (clock.now(), Instant::now());
    std::thread::sleep(Duration::from_millis(30));
    let apart = (clock.now() - counting).abs_diff(steady.elapsed());
    assert!(apart < Duration::from_millis(20), "{apart:?}");
}

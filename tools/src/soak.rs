//! A randomized soak: real routers as processes, harmed from outside while they serve.
//!
//! A seed decides the site, the load and the harms. What must hold is checked
//! from what callers and upstreams see, never from a router's word.

mod checks;
mod crashes;
mod floods;
mod harm_log;
mod harms;
mod inject;
mod limits;
mod load;
mod lost;
mod overload;
mod persistent;
mod plan;
mod planned_stops;
mod processes;
mod recovery;
mod silences;
mod site_changes;
mod statements;

pub use checks::{Report, Violation};
pub use overload::draw_load;
pub use plan::{
    Action, Injection, Size, draw_injections, draw_limits, draw_pauses, draw_statements,
    draw_versions,
};
pub use silences::draw_silences;

use crate::process::bin_dir;
use crate::router_site::{Site, SiteSpec};
use cloverpier_router_policy::prelude::UpstreamStart;
use crashes::Repeats;
use harm_log::HarmLog;
use load::{Load, Sent};
use planned_stops::Played;
use std::io;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Routers have to be ready this long after their start.
const START: Duration = Duration::from_secs(30);

/// One run of the soak.
#[derive(Clone, Debug)]
pub struct SoakSpec {
    /// Decides everything that is drawn.
    pub seed: u64,
    /// How long harm is done.
    pub length: Duration,
    /// Routers at most.
    pub most_routers: usize,
    /// Where settings and logs lie; one folder a seed.
    pub dir: PathBuf,
    /// The router's program; the one built beside this program if not set.
    pub program: Option<PathBuf>,
    /// Whether versions are rolled out, and upstreams start again under their names.
    pub with_versions: bool,
    /// Whether upstreams say in their answers that they leave or want nothing.
    pub with_statements: bool,
    /// Whether upstreams name in their answers how many requests they take.
    pub with_limits: bool,
    /// Whether one client account floods, less urgent streams burst and engines turn slow.
    pub with_load: bool,
    /// Whether requests have one body where there is load or upstreams fall silent; without both they always do.
    pub with_equal_bodies: bool,
    /// Whether sound upstreams fall silent for a while, one, some and all at once.
    pub with_pauses: bool,
    /// Whether a request crashes upstreams while they pause, in place of all other harm, of which some takes away
    /// what is known of the request.
    pub with_crashes: bool,
}

/// Pause between the events of a stream where upstreams fall silent: many streams are under way as they do.
const SILENCED_EVENT_INTERVAL: Duration = Duration::from_millis(25);

/// Sets the random numbers of roll-outs and starts apart from those of the other harms.
const VERSIONS_SEED: u64 = 0x7665_7273;

/// Sets those of what upstreams say of themselves apart, too.
const STATEMENTS_SEED: u64 = 0x7361_6964;

/// And those of the limits that they name.
const LIMITS_SEED: u64 = 0x6c69_6d69;

/// And those of load.
const LOAD_SEED: u64 = 0x6c6f_6164;

/// And those of silences.
const SILENCES_SEED: u64 = 0x7369_6c65;

/// When upstreams say that their first start was, as a Unix time in milliseconds.
const FIRST_BORN_MS: u64 = 1_790_000_000_000;

/// Runs one seed.
///
/// # Errors
///
/// What the system reports while the site is set up.
pub async fn run_soak(spec: &SoakSpec) -> io::Result<Report> {
    let dir = spec.dir.join(format!("seed-{}", spec.seed));
    if dir.exists() {
        std::fs::remove_dir_all(&dir)?;
    }
    std::fs::create_dir_all(&dir)?;
    let mut rng = fastrand::Rng::with_seed(spec.seed);
    let size = Size::draw(&mut rng, spec.most_routers);
    let injections = draw(spec, &mut rng, size);
    let mut site = Site::start(site_spec(spec, size, &dir)?).await?;
    let mut report = Report::new(spec.seed, size, dir);
    if !site.wait_ready(START).await {
        report.violation("start", "the fronts aren't ready in time");
        return Ok(report);
    }
    // Where upstreams that crash serve one body alone and end nothing meanwhile, it counts as the cause.
    let has_equal_bodies = !(spec.with_load || spec.with_pauses) || spec.with_equal_bodies;
    let mut load = Load::start(&site, &injections, has_equal_bodies, rng.fork());
    let repeats = spec.with_crashes.then(|| Repeats::start(&site, rng.fork()));
    let harms = inject::play(&mut site, &injections, &mut report).await?;
    if let Some(repeats) = repeats {
        repeats.stop().await;
    }
    let sent = load.stop().await;
    inject::heal(&mut site).await?;
    recovery::check_recovery(&site, &mut report).await;
    let found = Found {
        sent: &sent,
        injections: &injections,
        harms: &harms,
    };
    check(spec, &site, found, &mut report);
    load.persistent.check(&site, &sent, &mut report);
    Ok(report)
}

/// What a run left for the checks.
#[derive(Clone, Copy)]
struct Found<'a> {
    sent: &'a [Sent],
    injections: &'a [Injection],
    harms: &'a HarmLog,
}

/// Checks what must hold of all requests of a run.
fn check(spec: &SoakSpec, site: &Site, found: Found<'_>, report: &mut Report) {
    let Found {
        sent,
        injections,
        harms,
    } = found;
    let disturbed = &harms.routers;
    let played = Played { injections, harms };
    checks::check_requests(site, sent, played, report);
    checks::check_exposure(site, report);
    statements::check_statements(site, sent, injections, disturbed, report);
    limits::check_limits(site, sent, disturbed, report);
    crashes::check_crashes(site, sent, report);
    // What a request crashes is in no log of harms.
    if !spec.with_crashes {
        lost::check_lost(site, sent, harms, report);
    }
}

/// Draws what is done to a site.
fn draw(spec: &SoakSpec, rng: &mut fastrand::Rng, size: Size) -> Vec<Injection> {
    if spec.with_crashes {
        return draw_pauses(rng, size, spec.length);
    }
    let mut injections = draw_injections(rng, size, spec.length);
    if spec.with_versions {
        let mut rng = fastrand::Rng::with_seed(spec.seed ^ VERSIONS_SEED);
        injections.extend(draw_versions(&mut rng, size, spec.length));
    }
    if spec.with_statements {
        let mut rng = fastrand::Rng::with_seed(spec.seed ^ STATEMENTS_SEED);
        injections.extend(draw_statements(&mut rng, size, spec.length));
    }
    if spec.with_limits {
        let mut rng = fastrand::Rng::with_seed(spec.seed ^ LIMITS_SEED);
        injections.extend(draw_limits(&mut rng, size, spec.length));
    }
    if spec.with_load {
        let mut rng = fastrand::Rng::with_seed(spec.seed ^ LOAD_SEED);
        injections.extend(draw_load(&mut rng, size, spec.length));
    }
    if spec.with_pauses {
        let mut rng = fastrand::Rng::with_seed(spec.seed ^ SILENCES_SEED);
        injections.extend(draw_silences(&mut rng, size, spec.length));
    }
    injections.sort_by_key(|injection| injection.at);
    injections
}

fn site_spec(spec: &SoakSpec, size: Size, dir: &Path) -> io::Result<SiteSpec> {
    let program = match &spec.program {
        Some(program) => program.clone(),
        None => bin_dir()?.join("cloverpier-front"),
    };
    let mut site = SiteSpec::new(program, dir);
    // Restarted upstreams come back at their addresses, and no other service takes one.
    site.address_reuse_s = 2;
    site.routers = size.routers;
    site.engines = size.engines;
    site.plain = size.plain;
    site.seed = spec.seed;
    let is_under_load = spec.with_load && !spec.with_crashes;
    site.engine = is_under_load.then(overload::engine_spec);
    site.orders_streams = is_under_load;
    site.crashed_by = spec.with_crashes.then_some(crashes::CRASHING);
    // Load is drawn for engines with short streams.
    if spec.with_pauses && !spec.with_load {
        site.event_interval = SILENCED_EVENT_INTERVAL;
    }
    let with_starts = spec.with_versions || spec.with_crashes;
    site.upstream_start = with_starts.then(|| UpstreamStart {
        version: "v1".into(),
        start_time_ms: Some(FIRST_BORN_MS),
    });
    Ok(site)
}

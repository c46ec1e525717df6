//! Slopes for docs/CAPACITY.md: each cost at three or more sizes.

use crate::fleet::{Fleet, FleetSpec};
use crate::load::{Load, between_tokens, faults, run as run_load};
use crate::report::{Figures, Spread};
use cloverpier_client::ConfirmReport;
use cloverpier_config::{Config, Intent, Service, Upstream, join, split};
use cloverpier_core::{ManualClock, ServiceName, VmName};
use cloverpier_daemon_standin::EngineModel;
use cloverpier_member::{Detector, DetectorParams, Member, MemberList};
use cloverpier_record::SlotMap;
use cloverpier_route::{RouteRequest, UpstreamView};
use serde_json::{Value, json};
use std::hint::black_box;
use std::io;
use std::time::{Duration, Instant};

const IDLE: Duration = Duration::from_secs(6);

/// Which slopes are measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// All of them.
    All,
    /// Decisions whose cost grows with the fleet, in this process.
    Decisions,
    /// Routers that nobody calls, by their number and by that of the engines.
    Idle,
    /// Tokens on their way, by live answers.
    Tokens,
    /// The configuration, by accounts.
    Config,
}

/// Measures slopes.
///
/// # Errors
///
/// The error of a process.
pub async fn run(kind: Kind) -> io::Result<Figures> {
    let wanted = |one| kind == Kind::All || kind == one;
    let mut figures = Figures::default();
    if wanted(Kind::Decisions) {
        figures.count("decisions", decisions());
    }
    if wanted(Kind::Idle) {
        let mut by_routers = Vec::new();
        for routers in [3, 12, 36, 72] {
            by_routers.push(idle_cost(routers, 4).await?);
        }
        figures.count("idle_by_routers", by_routers);
        let mut by_engines = Vec::new();
        for engines in [4, 12, 24, 48] {
            by_engines.push(idle_cost(3, engines).await?);
        }
        figures.count("idle_by_engines", by_engines);
    }
    if wanted(Kind::Tokens) {
        let mut tokens = Vec::new();
        for live in [30, 90, 240] {
            tokens.push(journal_cost(live, 1, 2).await?);
            tokens.push(journal_cost(live, 0, 2).await?);
        }
        for interval_ms in [0, 8, 20] {
            tokens.push(journal_cost(240, 1, interval_ms).await?);
        }
        figures.count("tokens", tokens);
    }
    if wanted(Kind::Config) {
        let mut config = Vec::new();
        for accounts in [500, 2_000, 8_000] {
            config.push(config_cost(accounts).await?);
        }
        figures.count("config_by_accounts", config);
    }
    Ok(figures)
}

fn per_node(total: f64, routers: usize) -> f64 {
    (total / routers as f64 * 1_000.0).round() / 1_000.0
}

/// What routers cost that nobody calls: membership, versions, load reports.
async fn idle_cost(routers: usize, engines: usize) -> io::Result<Value> {
    let fleet = Fleet::start(FleetSpec::new().routers(routers).engines(engines)).await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let platform = fleet.platform_counts().await;
    let (cpu, calls) = (
        fleet.router_usage().cpu_ms,
        fleet.status_sum("peer_calls").await,
    );
    let (sent, received) = (
        fleet.status_sum("peer_bytes_sent").await,
        fleet.status_sum("peer_bytes_received").await,
    );
    let started = Instant::now();
    tokio::time::sleep(IDLE).await;
    let seconds = started.elapsed().as_secs_f64();
    let cpu = fleet.router_usage().cpu_ms - cpu;
    let calls = fleet.status_sum("peer_calls").await - calls;
    let sent = fleet.status_sum("peer_bytes_sent").await - sent;
    let received = fleet.status_sum("peer_bytes_received").await - received;
    let after = fleet.platform_counts().await;
    let (confirmed, change) = change_one_account(&fleet).await?;
    let result = json!({
        "routers": routers,
        "change_outcome": confirmed.outcome,
        "change_to_accepted_ms": u64::try_from(change.as_millis()).unwrap_or(0),
        "engines": engines,
        "cpu_percent_a_node": per_node(cpu as f64 / seconds / 10.0, routers),
        "peer_calls_a_node_s": per_node(calls as f64 / seconds, routers),
        "peer_body_bytes_a_node_s": per_node((sent + received) as f64 / seconds, routers),
        "rss_mb_median_peak": fleet.router_rss_median_mb().0,
        "rss_mb_median_now": fleet.router_rss_median_mb().1,
        "rss_mb_most": fleet.router_usage().rss_kb as f64 / 1_024.0,
        "platform_reads_s": (after.reads - platform.reads) as f64 / seconds,
        "platform_watches_s": (after.watches - platform.watches) as f64 / seconds,
        "platform_writes_s": (after.writes - platform.writes) as f64 / seconds,
    });
    fleet.forget_logs();
    Ok(result)
}

/// What tokens cost on their way, with and without copies.
async fn journal_cost(live: usize, copies: u8, interval_ms: u64) -> io::Result<Value> {
    let model = EngineModel {
        slots: 64,
        step_us: 36_000,
        ..EngineModel::default()
    };
    let spec = FleetSpec::new().engines(6).model(model);
    let spec = spec.copy_interval_ms(interval_ms);
    let fleet = Fleet::start(spec.service(|s| s.copies = copies)).await?;
    let (cpu, calls) = (
        fleet.router_usage().cpu_ms,
        fleet.status_sum("peer_calls").await,
    );
    let sent = fleet.peer_bytes().await;
    let mut load = Load::new("slope", live, 100);
    load.spacing = Duration::from_millis(3);
    let outcomes = run_load(&fleet, &load).await;
    let wrong = faults(&outcomes);
    let tokens = (live * 100) as f64;
    let cpu = (fleet.router_usage().cpu_ms - cpu) as f64;
    let calls = (fleet.status_sum("peer_calls").await - calls) as f64;
    let sent = (fleet.peer_bytes().await - sent) as f64;
    let gaps = Spread::of(&between_tokens(&outcomes));
    let result = json!({
        "live": live,
        "copies": copies,
        "copy_interval_ms": interval_ms,
        "whole": wrong.whole,
        "router_us_a_token": cpu * 1_000.0 / tokens,
        "peer_bytes_sent_a_token": sent / tokens,
        "peer_calls_a_token": calls / tokens,
        "gap_p50_ms": gaps.p50,
        "gap_p95_ms": gaps.p95,
        "rss_mb_median_peak": fleet.router_rss_median_mb().0,
        "rss_mb_median_now": fleet.router_rss_median_mb().1,
        "rss_mb_most": fleet.router_usage().rss_kb as f64 / 1_024.0,
    });
    fleet.forget_logs();
    Ok(result)
}

/// Changes one account and tells how long it took until the change was accepted.
async fn change_one_account(fleet: &Fleet) -> io::Result<(ConfirmReport, Duration)> {
    let mut intent = Intent::default();
    if let Some((name, mut account)) = fleet.intent().accounts.pop_last() {
        account.weight += 1;
        intent.accounts.insert(name, account);
    }
    let operator = fleet.operator();
    let planned = operator.plan(&intent).await.map_err(io::Error::other)?;
    let changed = Instant::now();
    let confirmed = operator.confirm(&planned.id).await;
    let confirmed = confirmed.map_err(io::Error::other)?;
    Ok((confirmed, changed.elapsed()))
}

/// What accounts cost: the first configuration, one change, memory.
async fn config_cost(accounts: usize) -> io::Result<Value> {
    let started = Instant::now();
    let fleet = Fleet::start(FleetSpec::new().accounts(accounts)).await?;
    let start = started.elapsed();
    let cpu = fleet.router_usage().cpu_ms;
    let before = fleet.platform_counts().await;
    let (confirmed, change) = change_one_account(&fleet).await?;
    let after = fleet.platform_counts().await;
    let cpu = fleet.router_usage().cpu_ms - cpu;
    let parts = split(&fleet.intent().apply(&Config::default()));
    let largest = parts.iter().map(|p| json!(p).to_string().len()).max();
    let result = json!({
        "accounts": accounts,
        "start_to_in_force_ms": u64::try_from(start.as_millis()).unwrap_or(0),
        "change_to_accepted_ms": u64::try_from(change.as_millis()).unwrap_or(0),
        "outcome": confirmed.outcome,
        "change_cpu_ms_a_node": cpu as f64 / fleet.routers.len() as f64,
        "change_platform_writes": after.writes - before.writes,
        "change_platform_reads": after.reads - before.reads,
        "largest_part_bytes": largest.unwrap_or(0),
        "rss_mb_median_peak": fleet.router_rss_median_mb().0,
        "rss_mb_median_now": fleet.router_rss_median_mb().1,
        "rss_mb_most": fleet.router_usage().rss_kb as f64 / 1_024.0,
    });
    fleet.forget_logs();
    Ok(result)
}

/// Time of one run of something, in microseconds, over enough runs to tell.
fn us<T>(mut f: impl FnMut() -> T) -> f64 {
    let started = Instant::now();
    let mut runs = 0_u32;
    while started.elapsed() < Duration::from_millis(120) {
        black_box(f());
        runs += 1;
    }
    let us = started.elapsed().as_secs_f64() * 1e6 / f64::from(runs);
    (us * 10.0).round() / 10.0
}

fn members(count: usize) -> MemberList {
    let mut list = MemberList::default();
    for i in 0..count {
        let at = ([127, 0, 0, 1], 1).into();
        let dc = format!("dc-{}", i % 10);
        list = list.with_joined(Member::new(&format!("vm-{i}"), 1, &dc, at, at));
    }
    list
}

/// Decisions whose cost grows with the fleet, in this process.
fn decisions() -> Value {
    json!({
        "by_members": costs_by_members(),
        "by_upstreams": costs_by_upstreams(),
        "by_accounts": costs_by_accounts(),
    })
}

fn costs_by_members() -> Vec<Value> {
    let mut by_members = Vec::new();
    for count in [9, 60, 390] {
        let list = members(count);
        let clock = ManualClock::new();
        let now = cloverpier_core::Clock::now(&clock);
        let mut detector = Detector::new(list.members[0].id.clone(), DetectorParams::default());
        detector.set_members(&list, now);
        by_members.push(json!({
            "members": count,
            "slot_map_us": us(|| SlotMap::of(&list)),
            "detector_tick_us": us(|| detector.tick(now)),
            "detector_set_members_us": us(|| detector.set_members(&list, now)),
            "list_bytes": json!(list).to_string().len(),
        }));
    }
    by_members
}

fn costs_by_upstreams() -> Vec<Value> {
    let mut by_upstreams = Vec::new();
    for count in [28_u16, 200, 820] {
        let config = upstreams(count);
        let mut view = UpstreamView::new("dc-1".into(), &VmName::new("vm-1"));
        view.apply(&config);
        let ask = RouteRequest::new(ServiceName::new("s0"));
        let mut rng = fastrand::Rng::with_seed(1);
        let now = Instant::now();
        by_upstreams.push(json!({
            "upstreams": count,
            "choose_us": us(|| view.choose(&ask, now, &mut rng)),
            "apply_us": us(|| view.apply(&config)),
            "known_closely": view.tracked().len(),
        }));
    }
    by_upstreams
}

fn costs_by_accounts() -> Vec<Value> {
    let mut by_accounts = Vec::new();
    for count in [500, 5_000, 35_000] {
        let config = accounts(count);
        let parts = split(&config);
        by_accounts.push(json!({
            "accounts": count,
            "split_and_digest_us": us(|| split(&config).iter().map(|p| p.digest()).collect::<Vec<_>>()),
            "join_us": us(|| join(&parts)),
            "config_bytes": json!(config).to_string().len(),
        }));
    }
    by_accounts
}

/// Thirty services with the upstreams spread over them.
fn upstreams(count: u16) -> Config {
    let mut config = Config::default();
    for i in 0..30 {
        let name = ServiceName::new(format!("s{i}"));
        config.services.insert(name, Service::model("m"));
    }
    for i in 0..count {
        let service = ServiceName::new(format!("s{}", i % 30));
        let at = ([127, 0, 0, 1], i + 1).into();
        let dc = format!("dc-{}", i % 10);
        let upstream = Upstream::new(service, at, dc.as_str().into());
        config
            .upstreams
            .insert(format!("e{i}").as_str().into(), upstream);
    }
    config
}

fn accounts(count: usize) -> Config {
    let mut config = Config::default();
    let account = cloverpier_config::Account::new("a.b", vec!["drafts".into()]);
    let account = std::sync::Arc::new(account);
    for i in 0..count {
        let name = format!("account-{i}");
        config
            .accounts
            .insert(name.as_str().into(), account.clone());
    }
    config
}

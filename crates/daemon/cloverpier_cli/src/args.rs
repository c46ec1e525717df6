//! The arguments of the command line.
//!
//! Owns names, defaults and help of all of them; environment variables replace two. What a command does
//! with them is its own module's.

use argh::FromArgs;
use std::net::SocketAddr;

/// Command line of operators and callers. Exit codes: 0 done, 1 refused or
/// failed, 2 wrong usage, 3 stored but not in force everywhere yet.
#[derive(FromArgs)]
pub struct Args {
    /// a router's port for operators (`CLOVERPIER_ROUTER`)
    #[argh(option)]
    pub router: Option<SocketAddr>,
    /// a router's port for callers (`CLOVERPIER_ADDRESS`)
    #[argh(option)]
    pub address: Option<SocketAddr>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    /// what to do
    #[argh(subcommand)]
    pub command: Command,
}

impl Args {
    /// The router's port for operators.
    pub fn router(&self) -> Option<SocketAddr> {
        self.router.or_else(|| from_env("CLOVERPIER_ROUTER"))
    }

    /// The router's port for callers.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.or_else(|| from_env("CLOVERPIER_ADDRESS"))
    }
}

fn from_env(name: &str) -> Option<SocketAddr> {
    // An address that cannot be read counts as none; the caller then names both ways to give it.
    std::env::var(name).ok()?.parse().ok()
}

/// What to do.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Digest of a key.
    Key(Key),
    /// Addresses.
    Addresses(Addresses),
    /// Generate.
    Generate(Generate),
    /// Call a plain service.
    Call(Call),
    /// Plan.
    Plan(Plan),
    /// Show a plan.
    Show(Show),
    /// Confirm.
    Confirm(Confirm),
    /// Who acts on a version.
    Version(Version),
    /// Configuration.
    Config(Config),
    /// Status.
    Status(Status),
    /// Drain.
    Drain(Drain),
    /// Stop.
    Stop(Stop),
}

/// print the digest of a client account's key, as an intent wants it
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    /// the key, as account.secret
    #[argh(positional)]
    pub key: String,
}

/// print which addresses callers may use
#[derive(FromArgs)]
#[argh(subcommand, name = "addresses")]
pub struct Addresses {}

/// stream an answer; the key is taken from `CLOVERPIER_KEY`
#[derive(FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct Generate {
    /// the service
    #[argh(option)]
    pub service: String,
    /// the most tokens
    #[argh(option, default = "64")]
    pub max_tokens: u32,
    /// the priority, 0 to 9, as far as the account may
    #[argh(option, default = "0")]
    pub priority: u8,
    /// the idempotency key
    #[argh(option, default = "String::new()")]
    pub key: String,
    /// the prompt
    #[argh(positional)]
    pub prompt: String,
}

/// call a plain service; the key is taken from `CLOVERPIER_KEY`
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Call {
    /// the method
    #[argh(option, default = "String::from(\"GET\")")]
    pub method: String,
    /// the idempotency key
    #[argh(option)]
    pub key: Option<String>,
    /// the body
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// the service and the path, as in status/runs/17
    #[argh(positional)]
    pub path: String,
}

/// ask what an intent would change; the key is taken from `CLOVERPIER_OPERATOR_KEY`
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// the intent, a TOML file
    #[argh(positional)]
    pub intent: String,
}

/// print a plan
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// the plan's name
    #[argh(positional)]
    pub plan: String,
}

/// put a plan in force
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct Confirm {
    /// the plan's name
    #[argh(positional)]
    pub plan: String,
}

/// ask which routers act on a version
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {
    /// the version
    #[argh(positional)]
    pub version: u64,
}

/// print the configuration in force
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {}

/// print a router's state
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// give an upstream no new work from now on
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// the upstream
    #[argh(positional)]
    pub upstream: String,
}

/// begin a planned stop of the router
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct Stop {}

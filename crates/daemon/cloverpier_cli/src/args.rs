//! The arguments of the command line.
//!
//! Owns the names, defaults and help texts of all arguments; two of them may be given by environment
//! variables instead. The commands are implemented in `caller` and `operator`.

use argh::FromArgs;
use std::net::SocketAddr;

/// Calls the routers as an operator or a caller. Exit codes: 0 done, 1 refused or
/// failed, 2 wrong usage, 3 stored but not in force at all routers yet.
#[derive(FromArgs)]
pub struct Args {
    /// address and port at which a router accepts operators
    /// (default: `CLOVERPIER_ROUTER`)
    #[argh(option)]
    pub router: Option<SocketAddr>,
    /// address and port at which a router accepts callers
    /// (default: `CLOVERPIER_ADDRESS`)
    #[argh(option)]
    pub address: Option<SocketAddr>,
    /// print JSON instead of tables
    #[argh(switch)]
    pub json: bool,
    /// the command to execute
    #[argh(subcommand)]
    pub command: Command,
}

impl Args {
    /// The router's address for operators: the argument, else the environment variable.
    pub fn router(&self) -> Option<SocketAddr> {
        self.router.or_else(|| from_env("CLOVERPIER_ROUTER"))
    }

    /// The router's address for callers: the argument, else the environment variable.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address.or_else(|| from_env("CLOVERPIER_ADDRESS"))
    }
}

fn from_env(name: &str) -> Option<SocketAddr> {
    // An invalid address counts as absent; the error message names both ways to give the address.
    std::env::var(name).ok()?.parse().ok()
}

/// The command to execute; the type of each variant has the command's arguments.
#[derive(FromArgs)]
#[argh(subcommand)]
pub enum Command {
    /// Prints the digest of a client account's key.
    Key(Key),
    /// Prints the routers' addresses for callers.
    Addresses(Addresses),
    /// Streams a generated response of a model service.
    Generate(Generate),
    /// Calls a plain service.
    Call(Call),
    /// Makes a plan.
    Plan(Plan),
    /// Prints a stored plan.
    Show(Show),
    /// Confirms a plan.
    Confirm(Confirm),
    /// Prints which routers don't act on a version yet.
    Version(Version),
    /// Prints the configuration.
    Config(Config),
    /// Prints a router's state.
    Status(Status),
    /// Marks an upstream as leaving.
    Drain(Drain),
    /// Starts a planned shutdown of a router.
    Stop(Stop),
}

/// print the digest of a client account's key, for `key_sha256` in an intent
#[derive(FromArgs)]
#[argh(subcommand, name = "key")]
pub struct Key {
    /// the key, as account.secret
    #[argh(positional)]
    pub key: String,
}

/// print the routers' addresses for callers
#[derive(FromArgs)]
#[argh(subcommand, name = "addresses")]
pub struct Addresses {}

/// stream a generated response; the account's key is taken from `CLOVERPIER_KEY`
#[derive(FromArgs)]
#[argh(subcommand, name = "generate")]
pub struct Generate {
    /// name of the model service
    #[argh(option)]
    pub service: String,
    /// upper bound of the response's tokens (default: 64)
    #[argh(option, default = "64")]
    pub max_tokens: u32,
    /// priority of the request, 0 to 9, at most that of the account (default: 0)
    #[argh(option, default = "0")]
    pub priority: u8,
    /// idempotency key of the request (default: the router assigns a key)
    #[argh(option, default = "String::new()")]
    pub key: String,
    /// text to generate a response to
    #[argh(positional)]
    pub prompt: String,
}

/// call a plain service; the account's key is taken from `CLOVERPIER_KEY`
#[derive(FromArgs)]
#[argh(subcommand, name = "call")]
pub struct Call {
    /// HTTP method (default: GET)
    #[argh(option, default = "String::from(\"GET\")")]
    pub method: String,
    /// idempotency key, required for calls that may not be repeated
    #[argh(option)]
    pub key: Option<String>,
    /// body of the request (default: empty)
    #[argh(option, default = "String::new()")]
    pub body: String,
    /// name of the service and path within the service, such as status/runs/17
    #[argh(positional)]
    pub path: String,
}

/// make a plan: the changes of an intent, without applying them; the key is taken from
/// `CLOVERPIER_OPERATOR_KEY`, as for all commands of operators
#[derive(FromArgs)]
#[argh(subcommand, name = "plan")]
pub struct Plan {
    /// path of a TOML file with the intent
    #[argh(positional)]
    pub intent: String,
}

/// print a stored plan
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub struct Show {
    /// id of the plan
    #[argh(positional)]
    pub plan: String,
}

/// confirm a plan: apply its changes and wait for all routers
#[derive(FromArgs)]
#[argh(subcommand, name = "confirm")]
pub struct Confirm {
    /// id of the plan
    #[argh(positional)]
    pub plan: String,
}

/// print which routers don't act on a version of the configuration yet
#[derive(FromArgs)]
#[argh(subcommand, name = "version")]
pub struct Version {
    /// version of the configuration
    #[argh(positional)]
    pub version: u64,
}

/// print the configuration in force at the router
#[derive(FromArgs)]
#[argh(subcommand, name = "config")]
pub struct Config {}

/// print a router's state
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub struct Status {}

/// mark an upstream as leaving, so that it receives no new requests
#[derive(FromArgs)]
#[argh(subcommand, name = "drain")]
pub struct Drain {
    /// name of the upstream
    #[argh(positional)]
    pub upstream: String,
}

/// start a planned shutdown of the router
#[derive(FromArgs)]
#[argh(subcommand, name = "stop")]
pub struct Stop {}

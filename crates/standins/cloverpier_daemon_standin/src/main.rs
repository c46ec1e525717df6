//! Starts one stand-in as a process of its own.

use argh::FromArgs;
use cloverpier_daemon_standin::{EngineModel, engine, link, platform, service};
use std::net::SocketAddr;
use std::process::ExitCode;

/// Stand-ins for the platform, model engines, plain services and links.
#[derive(FromArgs)]
struct Args {
    #[argh(subcommand)]
    what: What,
}

#[derive(FromArgs)]
#[argh(subcommand)]
enum What {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Service(ServiceArgs),
    Link(LinkArgs),
}

/// The platform: objects with versions and watches.
#[derive(FromArgs)]
#[argh(subcommand, name = "platform")]
struct PlatformArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
}

/// A model engine.
#[derive(FromArgs)]
#[argh(subcommand, name = "engine")]
struct EngineArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// parameters of the timing model, as a TOML file
    #[argh(option)]
    model: Option<String>,
}

/// A plain service.
#[derive(FromArgs)]
#[argh(subcommand, name = "service")]
struct ServiceArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
}

/// A link that can be cut.
#[derive(FromArgs)]
#[argh(subcommand, name = "link")]
struct LinkArgs {
    /// where to listen
    #[argh(option)]
    listen: SocketAddr,
    /// where the link leads
    #[argh(option)]
    to: SocketAddr,
    /// where faults are switched
    #[argh(option)]
    control: SocketAddr,
}

fn model_of(path: Option<&str>) -> Result<EngineModel, String> {
    let Some(path) = path else {
        return Ok(EngineModel::default());
    };
    let text = std::fs::read_to_string(path).map_err(|e| format!("{path}: {e}"))?;
    toml::from_str(&text).map_err(|e| format!("{path}: {e}"))
}

#[tokio::main]
async fn main() -> ExitCode {
    let args: Args = argh::from_env();
    let result = match args.what {
        What::Platform(a) => {
            platform::run(a.listen).await;
            Ok(())
        }
        What::Engine(a) => match model_of(a.model.as_deref()) {
            Ok(model) => {
                engine::run(a.listen, model).await;
                Ok(())
            }
            Err(e) => Err(e),
        },
        What::Service(a) => {
            service::run(a.listen).await;
            Ok(())
        }
        What::Link(a) => link::run(a.listen, a.to, a.control)
            .await
            .map_err(|e| e.to_string()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("{e}");
            ExitCode::FAILURE
        }
    }
}

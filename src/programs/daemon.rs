//! What the daemons do from their command line to their exit code.

use std::future::Future;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;

use compio::net::TcpListener;
use futures_util::future::{Either, select};
use gumdrop::Options;
use http::Response;
use http_body_util::Full;

use crate::config::settings::Settings;
use crate::controllers::control_plane::ControlPlane;
use crate::controllers::node_server;
use crate::controllers::node_server::NodeHooks;
use crate::controllers::platform_reader::ReaderRole;
use crate::controllers::{platform_reader, relay, reload};
use crate::error::Result;
use crate::opaque::{self, PlatformAdapter};
use crate::process::metrics::Metrics;
use crate::process::{http_server, logging};
use crate::quic::agent::Agent;
use crate::quic::{balancer, peer_handlers};

/// The exit code for a command line or settings file that can't be used.
pub const EXIT_USAGE: u8 = 2;

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;

#[derive(Debug, Options)]
struct DaemonOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(no_short, help = "print the version and exit")]
    version: bool,
    #[options(help = "the settings file", meta = "FILE")]
    settings: Option<PathBuf>,
    #[options(no_short, help = "check the settings and exit")]
    check: bool,
}

/// Runs a balancer with the arguments of the process.
pub fn run_balancer() -> ExitCode {
    run("endivedyke-balancer", None, |control| async move {
        let hooks = balancer::hooks(&control);
        start(&control, hooks).await?;
        balancer::run(control, stop_signal()).await
    })
}

/// Runs an agent with the arguments of the process.
pub fn run_agent() -> ExitCode {
    run("endivedyke-agent", None, |control| async move {
        let agent = Agent::new(&control)?;
        start(&control, peer_handlers::hooks(&agent)).await?;
        agent.run(stop_signal()).await
    })
}

/// Runs a balancer of opaque flows; `adapt` makes the adapter of the platform from the settings.
///
/// Without an argument, the environment variable `settings_variable` names the settings file.
pub fn run_opaque_balancer(
    settings_variable: &str,
    adapt: fn(&Settings) -> PlatformAdapter,
) -> ExitCode {
    let variable = Some(settings_variable);
    run(
        "endivedyke-platform-balancer",
        variable,
        |control| async move {
            let hooks = opaque::hooks(&control, "balancer");
            let adapter = adapt(&control.settings);
            listen(&control, hooks).await?;
            opaque::run_balancer(control, adapter, stop_signal()).await
        },
    )
}

/// Runs an agent of opaque flows; `adapt` makes the adapter of the platform from the settings.
///
/// Without an argument, the environment variable `settings_variable` names the settings file.
pub fn run_opaque_agent(
    settings_variable: &str,
    adapt: fn(&Settings) -> PlatformAdapter,
) -> ExitCode {
    let variable = Some(settings_variable);
    run(
        "endivedyke-platform-agent",
        variable,
        |control| async move {
            let hooks = opaque::hooks(&control, "agent");
            let adapter = adapt(&control.settings);
            listen(&control, hooks).await?;
            opaque::run_agent(control, adapter, stop_signal()).await
        },
    )
}

fn run<F>(
    program: &str,
    settings_variable: Option<&str>,
    role: impl FnOnce(Rc<ControlPlane>) -> F,
) -> ExitCode
where
    F: Future<Output = Result<()>>,
{
    let options = DaemonOptions::parse_args_default_or_exit();
    if options.version {
        println!("{program} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let from_variable = settings_variable.and_then(std::env::var_os);
    let Some(path) = options.settings.or(from_variable.map(PathBuf::from)) else {
        eprintln!("{program}: name a settings file with --settings FILE; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(program, &error, EXIT_USAGE),
    };
    if options.check {
        println!("{}: settings are sound", path.display());
        return ExitCode::SUCCESS;
    }
    match run_role(settings, &path, role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(program, &error, 1),
    }
}

fn fail(program: &str, error: &crate::error::Error, exit_code: u8) -> ExitCode {
    eprintln!("{program}: {error}");
    ExitCode::from(exit_code)
}

fn run_role<F>(
    settings: Settings,
    path: &Path,
    role: impl FnOnce(Rc<ControlPlane>) -> F,
) -> Result<()>
where
    F: Future<Output = Result<()>>,
{
    let metrics = Rc::new(Metrics::default());
    logging::start(
        settings.log_level,
        settings.log_file.as_deref(),
        &metrics.log_lines_dropped,
    )?;
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let control = ControlPlane::new(settings, metrics);
        let path = path.to_owned();
        let reloaded = control.clone();
        compio::runtime::spawn(async move { reload::run(reloaded, &path).await }).detach();
        log::info!("event=start host={}", control.settings.host);
        let result = role(control).await;
        log::info!("event=stop");
        result
    })
}

/// Opens the ports of control links and metrics, and starts the timers.
async fn listen(control: &Rc<ControlPlane>, hooks: NodeHooks) -> Result<()> {
    let settings = &control.settings;
    let links = node_server::bind(settings.host, settings.control_port).await?;
    let metrics = TcpListener::bind((settings.host, settings.metrics_port)).await?;
    compio::runtime::spawn(node_server::serve(links, control.clone(), hooks)).detach();
    compio::runtime::spawn(serve_metrics(metrics, control.clone())).detach();
    let timed = control.clone();
    compio::runtime::spawn(async move { timed.timers.run(&timed.metrics).await }).detach();
    Ok(())
}

/// Brings up what every daemon shares and returns when a configuration is in force.
async fn start(control: &Rc<ControlPlane>, hooks: NodeHooks) -> Result<()> {
    listen(control, hooks).await?;
    let reader_role = ReaderRole::new();
    platform_reader::start(control, &reader_role).await;
    subscribe(control, &reader_role);
    compio::runtime::spawn(platform_reader::run(control.clone(), reader_role)).detach();
    log::info!(
        "event=serving revision={}",
        control.store.borrow().digest().highest
    );
    Ok(())
}

fn subscribe(control: &Rc<ControlPlane>, reader_role: &Rc<ReaderRole>) {
    let compared = control.clone();
    let reader_role = reader_role.clone();
    control.timers.every(relay::COMPARE_PERIOD_MS, move || {
        let control = compared.clone();
        let reader_role = reader_role.clone();
        compio::runtime::spawn(async move {
            if relay::compare_once(&control).await {
                reader_role.record_peer_answer(control.now_ms());
            }
        })
        .detach();
    });
    let resumed = control.clone();
    control.timers.on_resume(move || {
        resumed.peers.drop_links();
        resumed.suspicion.borrow_mut().clear();
        let control = resumed.clone();
        compio::runtime::spawn(async move {
            relay::compare_once(&control).await;
        })
        .detach();
    });
    let tidied = control.clone();
    control.on_change(move |names| {
        if names.contains(&crate::config::config_store::HOSTS_NAME) {
            let store = tidied.store.borrow();
            tidied
                .peers
                .retain_links(|host| store.hosts().get(host).is_some());
        }
    });
}

async fn serve_metrics(listener: TcpListener, control: Rc<ControlPlane>) {
    http_server::serve(listener, move |request| {
        let found = request.uri().path() == "/metrics";
        let text = if found {
            control.metrics.render()
        } else {
            "see /metrics\n".to_owned()
        };
        let mut response = Response::new(Full::from(text));
        if !found {
            *response.status_mut() = http::StatusCode::NOT_FOUND;
        }
        std::future::ready(response)
    })
    .await;
}

/// Completes when the process is asked to stop.
async fn stop_signal() {
    let terminate = std::pin::pin!(compio::signal::unix::signal(SIGTERM));
    let interrupt = std::pin::pin!(compio::signal::unix::signal(SIGINT));
    match select(terminate, interrupt).await {
        Either::Left((result, _)) | Either::Right((result, _)) => {
            if let Err(error) = result {
                log::error!("event=no_signals error={error}");
            }
        }
    }
}

//! The life of a daemon, from its command line to its exit code.

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

/// The exit code for an invalid command line or settings file.
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

/// Runs a balancer with the command line of the process.
pub fn run_balancer() -> ExitCode {
    run("endivedyke-balancer", None, |control| async move {
        let hooks = balancer::hooks(&control);
        start(&control, hooks).await?;
        balancer::run(control, stop_signal()).await
    })
}

/// Runs an agent with the command line of the process.
pub fn run_agent() -> ExitCode {
    run("endivedyke-agent", None, |control| async move {
        let agent = Agent::new(&control)?;
        start(&control, peer_handlers::hooks(&agent)).await?;
        agent.run(stop_signal()).await
    })
}

/// Runs a balancer of opaque flows; `adapt` creates the adapter of the platform from the settings.
///
/// Without `--settings`, the environment variable `settings_variable` names the settings file.
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

/// Runs an agent of opaque flows; `adapt` creates the adapter of the platform from the settings.
///
/// Without `--settings`, the environment variable `settings_variable` names the settings file.
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
    let path_from_env = settings_variable.and_then(std::env::var_os);
    let Some(path) = options.settings.or(path_from_env.map(PathBuf::from)) else {
        eprintln!("{program}: name a settings file with --settings FILE; see --help");
        return ExitCode::from(EXIT_USAGE);
    };
    let settings = match Settings::load(&path) {
        Ok(settings) => settings,
        Err(error) => return report_error(program, &error, EXIT_USAGE),
    };
    if options.check {
        println!("{}: settings are valid", path.display());
        return ExitCode::SUCCESS;
    }
    match run_role(settings, &path, role) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(program, &error, 1),
    }
}

/// Prints an error to standard error and returns the exit code.
fn report_error(program: &str, error: &crate::error::Error, exit_code: u8) -> ExitCode {
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
        let reload_control = control.clone();
        compio::runtime::spawn(async move { reload::run(reload_control, &path).await }).detach();
        log::info!("event=start host={}", control.settings.host);
        let result = role(control).await;
        log::info!("event=stop");
        result
    })
}

/// Serves control links and metrics on their ports, and starts the timers.
async fn listen(control: &Rc<ControlPlane>, hooks: NodeHooks) -> Result<()> {
    let settings = &control.settings;
    let link_listener = node_server::bind(settings.host, settings.control_port).await?;
    let metrics_listener = TcpListener::bind((settings.host, settings.metrics_port)).await?;
    compio::runtime::spawn(node_server::serve(link_listener, control.clone(), hooks)).detach();
    compio::runtime::spawn(serve_metrics(metrics_listener, control.clone())).detach();
    let timer_control = control.clone();
    compio::runtime::spawn(async move { timer_control.timers.run(&timer_control.metrics).await })
        .detach();
    Ok(())
}

/// Starts the tasks that all daemons for QUIC share, and returns once a configuration is in force.
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

/// Subscribes the exchange with peers to timers, pauses and changes of the host list.
fn subscribe(control: &Rc<ControlPlane>, reader_role: &Rc<ReaderRole>) {
    let compare_control = control.clone();
    let reader_role = reader_role.clone();
    control.timers.every(relay::COMPARE_PERIOD_MS, move || {
        let control = compare_control.clone();
        let reader_role = reader_role.clone();
        compio::runtime::spawn(async move {
            if relay::compare_once(&control).await {
                reader_role.record_peer_answer(control.now_ms());
            }
        })
        .detach();
    });
    let resume_control = control.clone();
    control.timers.on_resume(move || {
        resume_control.peers.drop_links();
        resume_control.suspicion.borrow_mut().clear();
        let control = resume_control.clone();
        compio::runtime::spawn(async move {
            relay::compare_once(&control).await;
        })
        .detach();
    });
    let change_control = control.clone();
    control.on_change(move |names| {
        if names.contains(&crate::config::config_store::HOSTS_NAME) {
            let store = change_control.store.borrow();
            change_control
                .peers
                .retain_links(|host| store.hosts().get(host).is_some());
        }
    });
}

async fn serve_metrics(listener: TcpListener, control: Rc<ControlPlane>) {
    http_server::serve(listener, move |request| {
        let is_metrics = request.uri().path() == "/metrics";
        let text = if is_metrics {
            control.metrics.render()
        } else {
            "see /metrics\n".to_owned()
        };
        let mut response = Response::new(Full::from(text));
        if !is_metrics {
            *response.status_mut() = http::StatusCode::NOT_FOUND;
        }
        std::future::ready(response)
    })
    .await;
}

/// Completes when the process gets SIGTERM or SIGINT.
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

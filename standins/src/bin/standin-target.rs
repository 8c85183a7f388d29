//! Runs one stand-in target. On SIGTERM it drains: it leaves its agent and exits when no request is left.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use gumdrop::Options;
use rhubarbthread_standins::target::Target;
use rhubarbthread_standins::target::TargetPlan;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

#[derive(Debug, Options)]
struct TargetOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(required, help = "address to serve on", meta = "IP:PORT")]
    listen: Option<SocketAddr>,
    #[options(required, help = "admin address of the agent", meta = "IP:PORT")]
    agent: Option<SocketAddrV4>,
    #[options(required, help = "service", meta = "NAME", no_short)]
    service: String,
    #[options(help = "requests at once when warm", default = "9", no_short)]
    slots: u32,
    #[options(help = "connections when warm", default = "2000", no_short)]
    connections: u32,
    #[options(help = "requests at once when cold", default = "2", no_short)]
    first_limit: u32,
    #[options(help = "answers until it bears one more", default = "20", no_short)]
    growth_answers: u32,
    #[options(help = "start warm", no_short)]
    warm: bool,
    #[options(help = "shed what it does not bear", no_short)]
    sheds: bool,
}

#[tokio::main]
async fn main() {
    let options = TargetOptions::parse_args_default_or_exit();
    let plan = TargetPlan {
        listen: options.listen.expect("the option is required"),
        agent: options.agent.expect("the option is required"),
        service: options.service,
        slots: options.slots,
        connections: options.connections,
        first_limit: options.first_limit,
        growth_answers: options.growth_answers,
        warm: options.warm,
        process: format!("{:016x}", rand::random::<u64>()),
        sheds_load: options.sheds,
    };
    let target = match Target::start(plan).await {
        Ok(target) => target,
        Err(error) => {
            eprintln!("standin-target: {error}");
            std::process::exit(1);
        }
    };
    let mut terminate = signal(SignalKind::terminate()).expect("a signal handler can be installed");
    terminate.recv().await;
    target.leave().await;
}

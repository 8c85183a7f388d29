//! Runs the stand-in fabric.

use std::net::SocketAddr;
use std::net::SocketAddrV4;

use gumdrop::Options;
use rhubarbthread_standins::fabric::BalancerAddress;
use rhubarbthread_standins::fabric::Fabric;
use rhubarbthread_standins::fabric::FabricFaults;
use rhubarbthread_standins::fabric::FabricPlan;

#[derive(Debug, Options)]
struct FabricOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(required, help = "address for envelopes from agents", meta = "IP:PORT")]
    listen: Option<SocketAddrV4>,
    #[options(help = "service address (several)", meta = "IP:PORT")]
    service: Vec<SocketAddr>,
    #[options(
        help = "balancer (several)",
        meta = "DATA@ADMIN",
        parse(try_from_str = "parse_balancer")
    )]
    balancer: Vec<BalancerAddress>,
    #[options(help = "datagrams dropped, in thousandths", no_short)]
    drop: u32,
    #[options(help = "datagrams sent twice, in thousandths", no_short)]
    duplicate: u32,
    #[options(help = "datagrams held back, in thousandths", no_short)]
    reorder: u32,
    #[options(help = "delay of each datagram, in microseconds", no_short)]
    delay_us: u64,
    #[options(help = "seed of all random choices", default = "1", no_short)]
    seed: u64,
}

fn parse_balancer(text: &str) -> Result<BalancerAddress, String> {
    let (data, admin) = text.split_once('@').ok_or("balancer must be DATA@ADMIN")?;
    let parse = |text: &str| text.parse().map_err(|_| format!("{text:?} is not IP:PORT"));
    Ok(BalancerAddress { data: parse(data)?, admin: parse(admin)? })
}

#[tokio::main]
async fn main() {
    let options = FabricOptions::parse_args_default_or_exit();
    let plan = FabricPlan {
        listen: options.listen.expect("the option is required"),
        services: options.service,
        balancers: options.balancer,
        faults: FabricFaults {
            drop_permille: options.drop,
            duplicate_permille: options.duplicate,
            reorder_permille: options.reorder,
            delay_us: options.delay_us,
            ignore_probes: false,
        },
        seed: options.seed,
    };
    if let Err(error) = Fabric::start(&plan).await {
        eprintln!("standin-fabric: {error}");
        std::process::exit(1);
    }
    std::future::pending::<()>().await;
}

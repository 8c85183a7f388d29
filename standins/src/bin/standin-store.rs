//! Runs the stand-in store.

use std::net::SocketAddrV4;

use gumdrop::Options;
use rhubarbthread_standins::store::StandinStore;

#[derive(Debug, Options)]
struct StoreOptions {
    #[options(help = "print this help and exit")]
    help: bool,
    #[options(required, help = "address to serve on", meta = "IP:PORT")]
    listen: Option<SocketAddrV4>,
    #[options(help = "seed of lost answers", default = "1")]
    seed: u64,
}

#[tokio::main]
async fn main() {
    let options = StoreOptions::parse_args_default_or_exit();
    let listen = options.listen.expect("the option is required");
    if let Err(error) = StandinStore::new(options.seed).serve(listen).await {
        eprintln!("standin-store: {error}");
        std::process::exit(1);
    }
}

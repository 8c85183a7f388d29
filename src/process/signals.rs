//! SIGTERM and SIGINT: the first one starts a graceful shutdown, the second one ends the process immediately.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;

use signal_hook::consts::SIGINT;
use signal_hook::consts::SIGTERM;
use signal_hook::flag;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

use crate::error::EXIT_FAILURE;
use crate::log_event;
use crate::process::events::Event;

/// Waits for the first stop signal. From then on, a second one ends the process immediately.
pub async fn wait_for_stop_signal() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    exit_on_second_signal()?;
    log_event!(Event::Stopping);
    Ok(())
}

fn exit_on_second_signal() -> io::Result<()> {
    let armed = Arc::new(AtomicBool::new(true));
    for number in [SIGTERM, SIGINT] {
        flag::register_conditional_shutdown(number, EXIT_FAILURE, Arc::clone(&armed))?;
    }
    Ok(())
}

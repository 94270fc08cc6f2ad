//! Start of the controller process: listeners, links to the other controllers, and
//! the loops that run until the process exits.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

use thiserror::Error;
use tokio::net::TcpListener;
use tokio::task::JoinSet;
use tokio::time::sleep;
use tracing::info;

use super::election::run_elections;
use crate::api::ConnectionTimeouts;
use crate::controller::Controller;
use crate::settings::{DeploymentSettings, OperatorSettings};
use crate::stall::TIMER_INTERVAL;

/// Why a controller could not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// An address of the settings can't be bound.
    #[error("can't listen on {setting} {address}: {source}")]
    Listen {
        /// Name of the setting that holds the address.
        setting: &'static str,
        /// Address that can't be bound.
        address: SocketAddr,
        /// Why the operating system refuses it.
        source: io::Error,
    },
}

/// Runs one controller. Returns only if it can't start.
///
/// # Errors
///
/// [`StartError::Listen`] if the address for users and workers, or the one for
/// the other controllers, can't be bound.
pub async fn run(
    deployment: DeploymentSettings,
    operator_settings: OperatorSettings,
) -> Result<(), StartError> {
    let controller = Controller::new(deployment, operator_settings);
    let api_listener = bind_listener("api_addr", controller.deployment().api_address).await?;
    let peer_listener = bind_listener("back", controller.deployment().peer_address).await?;
    info!(
        host = controller.host(),
        zone = controller.deployment().zone,
        "controller started"
    );
    let mut tasks = JoinSet::new();
    for link in controller.links() {
        tasks.spawn(link.clone().run(controller.clone()));
    }
    tasks.spawn(crate::peer::listen(peer_listener, controller.clone()));
    tasks.spawn(run_elections(controller.clone()));
    tasks.spawn(watch_for_stalls(controller.clone()));
    let timeouts = ConnectionTimeouts::new(controller.deployment().cluster.workers.heartbeat_interval);
    crate::api::serve(api_listener, controller, timeouts).await;
    Ok(())
}

async fn bind_listener(setting: &'static str, address: SocketAddr) -> Result<TcpListener, StartError> {
    TcpListener::bind(address)
        .await
        .map_err(|source| StartError::Listen {
            setting,
            address,
            source,
        })
}

/// Runs the timer whose delay shows pauses and overload of this process.
async fn watch_for_stalls(controller: Arc<Controller>) {
    loop {
        sleep(TIMER_INTERVAL).await;
        controller.check_for_stall();
        controller.stall_timer_fired(Instant::now());
    }
}

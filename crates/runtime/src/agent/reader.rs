use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc;
use std::thread;

use async_std::channel::Sender;
use usher_types::Message;
use usher_wire::decode_message;

use super::worker_event::WorkerEvent;
use crate::control::ControlEvent;
use crate::metrics::Metrics;
use crate::socket::MAX_DATAGRAM_BYTES;
use crate::{RuntimeError, event, metric};

/// Starts the thread that reads the agent's messages.
pub(crate) fn start(
    socket: &UdpSocket,
    worker: mpsc::Sender<WorkerEvent>,
    control: Sender<ControlEvent>,
    metrics: Metrics,
) -> Result<(), RuntimeError> {
    let socket = socket.try_clone().map_err(RuntimeError::Thread)?;
    let thread = thread::Builder::new().name("reader".to_owned());
    let thread = thread.spawn(move || read(&socket, &worker, &control, &metrics));
    thread.map(|_| ()).map_err(RuntimeError::Thread)
}

// Returns when the traffic thread has ended.
fn read(
    socket: &UdpSocket,
    worker: &mpsc::Sender<WorkerEvent>,
    control: &Sender<ControlEvent>,
    metrics: &Metrics,
) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let SocketAddr::V4(source) = source else {
            continue;
        };
        let message = match decode_message(&buffer[..length]) {
            Ok(message) => message,
            Err(fault) => {
                event::MALFORMED.log(&[("source", &source), ("fault", &fault)]);
                metrics.count(&metric::AGENT_MALFORMED, 1);
                continue;
            }
        };
        // Heartbeats go to membership and, because they renew leases, also to the traffic thread.
        match &message {
            Message::Beat(beat) => {
                let _ = control.try_send(ControlEvent::Beat {
                    source,
                    beat: beat.clone(),
                });
            }
            Message::BeatAck(ack) => {
                let _ = control.try_send(ControlEvent::BeatAck(ack.clone()));
            }
            _ => {}
        }
        if worker
            .send(WorkerEvent::Message {
                from: source,
                message,
            })
            .is_err()
        {
            return;
        }
    }
}

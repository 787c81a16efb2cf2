use std::net::{SocketAddr, UdpSocket};
use std::sync::mpsc;
use std::thread;

use async_std::channel::Sender;
use usher_wire::Datagram;

use super::view::WorkerEvent;
use crate::control::ControlEvent;
use crate::metrics::Metrics;
use crate::socket::MAX_DATAGRAM;
use crate::{RuntimeError, event};

/// Starts the thread that reads the agent's datagrams.
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

// Ends when the traffic thread has gone.
fn read(
    socket: &UdpSocket,
    worker: &mpsc::Sender<WorkerEvent>,
    control: &Sender<ControlEvent>,
    metrics: &Metrics,
) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, source)) = socket.recv_from(&mut buffer) else {
            continue;
        };
        let SocketAddr::V4(source) = source else {
            continue;
        };
        let datagram = match Datagram::decode(&buffer[..length]) {
            Ok(datagram) => datagram,
            Err(fault) => {
                event::MALFORMED.log(&[("source", &source), ("fault", &fault)]);
                metrics.count("malformed", 1);
                continue;
            }
        };
        // Heartbeats concern membership and, as lease renewals, the traffic thread.
        match &datagram {
            Datagram::Beat(beat) => {
                let _ = control.try_send(ControlEvent::Beat {
                    source,
                    beat: beat.clone(),
                });
            }
            Datagram::BeatAck(ack) => {
                let _ = control.try_send(ControlEvent::BeatAck(ack.clone()));
            }
            _ => {}
        }
        if worker
            .send(WorkerEvent::Datagram { source, datagram })
            .is_err()
        {
            return;
        }
    }
}

package batch

import (
	"context"
	"time"
)

// freeTimeout is the timeout of a call that frees results.
const freeTimeout = time.Second

// Free frees results of a queue at the workers that hold them.
func (d *Dispatcher) Free(queue string, handles []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.freeLocked(queue, handles)
	if q, ok := d.queues[queue]; ok {
		d.startCalls(queue, q)
	}
}

// freeLocked schedules the calls that free the results. Only one such call runs at a time for each worker. The caller holds the lock.
func (d *Dispatcher) freeLocked(queue string, handles []string) {
	q, ok := d.queues[queue]
	if !ok || len(handles) == 0 {
		return
	}
	// Results of a previous owner of the queue also take up room until they are freed.
	for addr, list := range q.Untracked(handles, d.client.WorkerAddr) {
		d.scheduleFree(addr, list)
	}
	for addr, list := range q.Free(handles) {
		d.scheduleFree(addr, list)
	}
}

func (d *Dispatcher) scheduleFree(addr string, handles []string) {
	d.pendingFrees[addr] = append(d.pendingFrees[addr], handles...)
	if !d.freeRunning[addr] {
		d.freeRunning[addr] = true
		go d.freePending(addr)
	}
}

// freeWait returns how long results at the worker are gathered before the call that frees them, and counts that call if the worker is limited. The caller holds the lock.
func (d *Dispatcher) freeWait(addr string) time.Duration {
	var wait time.Duration
	for _, q := range d.queues {
		wait = max(wait, q.reserveFree(d.Now(), addr))
	}
	return wait
}

func (d *Dispatcher) takePendingFrees(addr string) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.pendingFrees[addr]
	delete(d.pendingFrees, addr)
	return list
}

// gatherFrees puts results back that are to be freed by a later call.
func (d *Dispatcher) gatherFrees(addr string, list []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pendingFrees[addr] = append(list, d.pendingFrees[addr]...)
}

func (d *Dispatcher) freePending(addr string) {
	for {
		d.mu.Lock()
		list := d.pendingFrees[addr]
		delete(d.pendingFrees, addr)
		if len(list) == 0 {
			delete(d.freeRunning, addr)
			d.mu.Unlock()
			return
		}
		wait := d.freeWait(addr)
		d.mu.Unlock()
		if wait > 0 {
			time.Sleep(wait)
			list = append(list, d.takePendingFrees(addr)...)
		}
		ctx, cancel := context.WithTimeout(context.Background(), freeTimeout)
		permitted, retry := d.permitFree(ctx, addr)
		if retry > 0 {
			cancel()
			d.gatherFrees(addr, list)
			time.Sleep(retry)
			continue
		}
		if err := d.client.Free(permitted, addr, list); err != nil {
			d.Log.WithError(err).WithField("upstream", addr).WithField("results", len(list)).Info("Failed to free results. The worker drops them when they expire.")
		}
		cancel()
	}
}

package harness

import (
	"bytes"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
)

// Regions stands for the network between the regions of a fleet. Hosts of one region reach those of another one through proxies for
// datagrams, whose addresses they find in the records of those hosts; within a region they reach each other directly. The port at which a
// host serves its state to others is closed to other regions, so all hosts read the store.
type Regions struct {
	fleet *Fleet
	store string
	cut   atomic.Bool

	mu    sync.Mutex
	peers map[string]*peerProxy // by host
	close []func()
}

// peerProxy is the proxy in front of a host for the hosts of other regions.
type peerProxy struct {
	region  string
	address string
}

// NewRegions returns the network. store is the address of the store, which is in reach of all regions.
func NewRegions(fleet *Fleet, store string) *Regions {
	return &Regions{fleet: fleet, store: store, peers: make(map[string]*peerProxy)}
}

// SetCut cuts the regions off from each other, or ends that.
func (r *Regions) SetCut(cut bool) { r.cut.Store(cut) }

// Close ends the proxies.
func (r *Regions) Close() {
	for _, end := range r.close {
		end()
	}
}

// AddHost starts the proxies for a host: that for its peers in other regions, and its path to the store.
func (r *Regions) AddHost(h *Host, fourth int) error {
	address := net.JoinHostPort(r.fleet.Address(200, fourth), strconv.Itoa(firstPeerPort))
	packets, err := net.ListenPacket("udp", address) //nolint:noctx // returns at once
	if err != nil {
		return err
	}
	go r.relayPackets(packets, h.PeerAddress())
	r.mu.Lock()
	r.peers[h.Name] = &peerProxy{region: h.Region, address: address}
	r.mu.Unlock()
	path, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // returns at once
	if err != nil {
		return err
	}
	target := &url.URL{Scheme: "http", Host: r.store}
	proxy := httputil.NewSingleHostReverseProxy(target)
	proxy.ErrorLog = log.New(io.Discard, "", 0) // hosts end their waiting reads
	proxy.ModifyResponse = func(response *http.Response) error { return r.translate(h.Region, response) }
	server := &http.Server{Handler: proxy} //nolint:gosec // its only client is a host
	go func() { _ = server.Serve(path) }()
	h.StoreAddress = path.Addr().String()
	r.close = append(r.close, func() { _ = packets.Close() }, func() { _ = server.Close() })
	return nil
}

// Kinds of datagrams by their first byte: a host that introduces itself states its own address, at which hosts of other regions do not
// reach it. Such datagrams are lost between regions, cut or not; the hosts then read the record.
const (
	introduction        = 6
	relayedIntroduction = 7
)

func (r *Regions) relayPackets(from net.PacketConn, target string) {
	to, err := net.Dial("udp", target) //nolint:noctx // returns at once
	if err != nil {
		return
	}
	defer func() { _ = to.Close() }()
	packet := make([]byte, 64<<10)
	for {
		n, _, err := from.ReadFrom(packet)
		if err != nil {
			return
		}
		if r.cut.Load() || n == 0 || packet[0] == introduction || packet[0] == relayedIntroduction {
			continue
		}
		_, _ = to.Write(packet[:n])
	}
}

// translate replaces the addresses in the records of hosts of other regions.
func (r *Regions) translate(region string, response *http.Response) error {
	if response.Header.Get("Content-Type") != "application/json" {
		return nil
	}
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return err
	}
	_ = response.Body.Close()
	var message map[string]json.RawMessage
	var rows []map[string]any
	if json.Unmarshal(data, &message) == nil && json.Unmarshal(message["rows"], &rows) == nil && len(rows) > 0 {
		for _, row := range rows {
			r.translateRow(region, row)
		}
		if message["rows"], err = json.Marshal(rows); err != nil {
			return err
		}
		if data, err = json.Marshal(message); err != nil {
			return err
		}
	}
	response.Body = io.NopCloser(bytes.NewReader(data))
	response.ContentLength = int64(len(data))
	response.Header.Set("Content-Length", strconv.Itoa(len(data)))
	return nil
}

func (r *Regions) translateRow(region string, row map[string]any) {
	key, _ := row["key"].(string)
	r.mu.Lock()
	peer := r.peers[key]
	r.mu.Unlock()
	if row["table"] != "hosts" || peer == nil || peer.region == region {
		return
	}
	encoded, _ := json.Marshal(row["value"])
	var value []byte
	if json.Unmarshal(encoded, &value) != nil {
		return
	}
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.UseNumber()
	var host map[string]any
	if decoder.Decode(&host) != nil {
		return
	}
	host["address"], host["settings_address"] = peer.address, peer.address
	if value, err := json.Marshal(host); err == nil {
		row["value"] = value
	}
}

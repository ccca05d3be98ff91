package faultproxy

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// listen opens a listener beside which reservePort can bind a socket.
func listen(address string) (net.Listener, error) {
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) }); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return c.Listen(context.Background(), "tcp", address)
}

// reservePort binds a socket that does not listen to the address of a listener. It keeps
// the port from other processes while the listener is closed. The result closes it.
func reservePort(address net.Addr) (release func() error, err error) {
	a, ok := address.(*net.TCPAddr)
	if !ok {
		return nil, &net.AddrError{Err: "not a TCP address", Addr: address.String()}
	}
	family, sa := unix.AF_INET6, unix.Sockaddr(&unix.SockaddrInet6{Port: a.Port, Addr: [16]byte(a.IP.To16())})
	if v4 := a.IP.To4(); v4 != nil {
		family, sa = unix.AF_INET, &unix.SockaddrInet4{Port: a.Port, Addr: [4]byte(v4)}
	}
	fd, err := unix.Socket(family, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	if err != nil {
		return nil, err
	}
	release = func() error { return unix.Close(fd) }
	if err = unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_REUSEPORT, 1); err == nil {
		err = unix.Bind(fd, sa)
	}
	if err != nil {
		_ = release() // the first error counts
		return nil, err
	}
	return release, nil
}

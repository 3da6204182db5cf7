package soak

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// errNoSocket is the error of a socket that the kernel does not know.
var errNoSocket = errors.New("no such socket")

const (
	// socketQuestionBytes is the size of struct inet_diag_req_v2 of the kernel, and inodeOffset the place of the inode in struct inet_diag_msg.
	socketQuestionBytes = 56
	inodeOffset         = 68
)

// socketInode asks the kernel for the inode of the loopback socket with the local and the remote address.
func socketInode(local, remote net.Addr) (uint32, error) {
	l, ok := local.(*net.TCPAddr)
	r, ok2 := remote.(*net.TCPAddr)
	if !ok || !ok2 {
		return 0, errNoSocket
	}
	fd, err := unix.Socket(unix.AF_NETLINK, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, unix.NETLINK_INET_DIAG)
	if err != nil {
		return 0, os.NewSyscallError("socket", err)
	}
	// The socket is used for one question.
	defer func() { _ = unix.Close(fd) }()
	if err := unix.Sendto(fd, socketQuestion(l, r), 0, &unix.SockaddrNetlink{Family: unix.AF_NETLINK}); err != nil {
		return 0, os.NewSyscallError("sendto", err)
	}
	answer := make([]byte, 4096)
	n, _, err := unix.Recvfrom(fd, answer, 0)
	if err != nil {
		return 0, os.NewSyscallError("recvfrom", err)
	}
	messages, err := syscall.ParseNetlinkMessage(answer[:n])
	if err != nil {
		return 0, fmt.Errorf("parse answer: %w", err)
	}
	if len(messages) == 0 || messages[0].Header.Type != unix.SOCK_DIAG_BY_FAMILY || len(messages[0].Data) < inodeOffset+4 {
		return 0, errNoSocket
	}
	return binary.NativeEndian.Uint32(messages[0].Data[inodeOffset:]), nil
}

// socketQuestion encodes the question for one TCP socket.
func socketQuestion(local, remote *net.TCPAddr) []byte {
	b := binary.NativeEndian.AppendUint32(nil, unix.NLMSG_HDRLEN+socketQuestionBytes)
	b = binary.NativeEndian.AppendUint16(b, unix.SOCK_DIAG_BY_FAMILY)
	b = binary.NativeEndian.AppendUint16(b, unix.NLM_F_REQUEST)
	b = append(b, make([]byte, 8)...)
	b = append(b, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	// Sockets in any state are asked for.
	b = binary.NativeEndian.AppendUint32(b, ^uint32(0))
	b = binary.BigEndian.AppendUint16(b, uint16(local.Port))
	b = binary.BigEndian.AppendUint16(b, uint16(remote.Port))
	for _, ip := range []net.IP{local.IP, remote.IP} {
		b = append(b, ip.To4()...)
		b = append(b, make([]byte, 12)...)
	}
	// No interface is named, and no cookie.
	b = binary.NativeEndian.AppendUint32(b, 0)
	return binary.NativeEndian.AppendUint64(b, ^uint64(0))
}
